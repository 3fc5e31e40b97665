package org.persimmonrelay.node

import org.persimmonrelay.backend.BackendServers
import org.persimmonrelay.backend.NodeLocation
import org.persimmonrelay.http.ServerAddress
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.membership.UdpPeer
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** An engine keeps only a few polls waiting, so that few of many nodes may poll it. */
class ReportPollerAssignmentTest {
    private val nodes = List(95) { node("n$it", if (it < 30) "puget-a" else "inland-a") }
    private val servers = List(40) { BackendServers.server("s$it", domain = "puget-a") }

    @Test
    fun `two nodes in the engine's region poll it where not all can`() {
        servers.forEach { server ->
            val pollers = nodes.filter { assignment(it).isPoller(server, 10, nodes - it) }

            assertEquals(2, pollers.size)
            assertTrue(pollers.all { it.domain == server.domain })
        }
    }

    @Test
    fun `when a poller is lost, another one replaces it and the others stay`() {
        val server = servers.first()
        val before = nodes.filter { assignment(it).isPoller(server, 10, nodes - it) }
        val left = nodes - before.first()

        val after = left.filter { assignment(it).isPoller(server, 10, left - it) }

        assertEquals(2, after.size)
        assertTrue(after.containsAll(before - before.first()))
    }

    @Test
    fun `few nodes all poll every engine`() {
        val few = nodes.takeLast(3) + nodes.take(2)

        assertTrue(few.all { assignment(it).isPoller(servers.first(), 10, few - it) })
    }

    private fun assignment(of: UdpPeer) =
        ReportPollerAssignment(of.node, NodeLocation(of.domain, REGIONS.getValue(of.domain), REGIONS))

    private fun node(name: String, domain: String) =
        UdpPeer(NodeId(name), FailureDomain(domain), ServerAddress("127.0.0.1", 1))

    private companion object {
        val REGIONS = BackendServers.PLACE.regions
    }
}
