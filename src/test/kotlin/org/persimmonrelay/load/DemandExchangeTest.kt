package org.persimmonrelay.load

import org.persimmonrelay.backend.ServiceDemand
import org.persimmonrelay.clock.ManualClock
import org.persimmonrelay.http.ServerAddress
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.membership.UdpPeer
import org.persimmonrelay.route.ServiceId
import org.persimmonrelay.timeline.EventCode
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class DemandExchangeTest {
    private val clock = ManualClock()
    private val events = ArrayList<EventCode>()
    private val peers = (1..3).map { UdpPeer(NodeId("n$it"), FailureDomain("d$it"), ServerAddress("127.0.0.1", it)) }
    private val nodes = peers.associateBy({ it.address }) { Node(it) }
    private val asking = nodes.getValue(peers[0].address).exchange

    @Test
    fun `the node that asks gets the demand of all nodes by failure domain`() {
        asking.collect()
        clock.advance(1.seconds)

        val demand = asking.collect().associateBy { it.domain.value }

        assertEquals(setOf("d1", "d2", "d3"), demand.keys)
        assertEquals(listOf(ServiceDemand(ServiceId("llm"), 2.0)), demand["d2"]?.services)
    }

    @Test
    fun `load reports and messages of unknown nodes are left alone`() {
        val report = NodeLoadReport(NodeId("n2"), Incarnation("1"), 1, emptyList()).encode()
        val unknown = DemandMessage(NodeId("n9"), Incarnation("1"), isQuestion = false).encode()

        assertFalse(asking.receive(report))
        assertTrue(asking.receive(unknown))
        assertEquals(1, asking.collect().size)
    }

    @Test
    fun `malformed messages and implausible figures are logged once and ignored`() {
        val odd = ServiceDemand(ServiceId("llm"), Double.POSITIVE_INFINITY)
        val message = DemandMessage(NodeId("n2"), Incarnation("1"), isQuestion = false, services = listOf(odd))

        listOf(byteArrayOf(0), byteArrayOf(0, 10, 127), message.encode()).forEach { assertTrue(asking.receive(it)) }

        assertEquals(1, asking.collect().size)
        assertEquals(listOf<EventCode>(LoadEvent.REPORT_UNREADABLE), events)
    }

    private inner class Node(self: UdpPeer) {
        val exchange: DemandExchange = DemandExchange(
            self = self,
            incarnation = Incarnation("1"),
            demand = { listOf(ServiceDemand(ServiceId("llm"), self.node.value.last().digitToInt().toDouble())) },
            peers = { peers - self },
            transport = { address, bytes -> nodes.getValue(address).exchange.receive(bytes) },
            clock = clock,
            events = { code, _ -> events += code },
        )
    }
}
