package org.persimmonrelay.membership

import kotlinx.serialization.Serializable
import org.junit.jupiter.api.AfterEach
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.Region
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.standin.VirtualMesh
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class SwimGossipTest {
    private val mesh = VirtualMesh(seed = 3)
    private val instance = ServerIncarnation(ServerId("engine-1"), "boot-1")
    private val topics = HashMap<NodeId, GossipTopic<Load>>()

    @AfterEach
    fun close() = mesh.close()

    @Test
    fun `a region gets the last value of each of its nodes and the aggregates of the other regions`() {
        startRegions()
        publish { 1 }
        mesh.advance(3.seconds)
        publish { if (it.value.startsWith("north")) 10 else 100 }
        mesh.advance(20.seconds)

        val north = topics.getValue(NodeId("north-2"))
        assertEquals(setOf(Load(10)), north.local.value.values.toSet())
        assertEquals(NORTH, north.local.value.keys.map { it.value }.toSet())
        assertEquals(mapOf(Region("south") to Load(500)), north.regions.value)
        assertEquals(mapOf(Region("north") to Load(50)), topics.getValue(NodeId("south-0")).regions.value)
    }

    @Test
    fun `values of a failed node are dropped and those of a restarted one accepted although its sequence restarts`() {
        startRegions()
        repeat(5) {
            publish { 7 }
            mesh.advance(2.seconds)
        }
        mesh.kill(NodeId("north-0"))
        mesh.advance(40.seconds)
        val north = topics.getValue(NodeId("north-2"))
        assertEquals(NORTH - "north-0", north.local.value.keys.map { it.value }.toSet())

        start("north-0", "north")
        topics.getValue(NodeId("north-0")).publish(Load(3))
        mesh.advance(30.seconds)

        assertEquals(Load(3), north.local.value[NodeId("north-0")])
    }

    @Test
    fun `a value over the size limit is not published`() {
        startRegions()
        var rejected = 0
        mesh.onEvent = { _, event, _ -> if (event == MembershipEvent.GOSSIP_TOO_LARGE) rejected++ }
        topics.getValue(NodeId("north-0")).publish(Load(1, "x".repeat(Gossip.MAX_VALUE_BYTES)))
        mesh.advance(10.seconds)

        assertEquals(1, rejected)
        assertTrue(NodeId("north-0") !in topics.getValue(NodeId("north-1")).local.value)
    }

    @Test
    fun `a draining server is known in its region within 6 s, elsewhere within 18 s, and after its reporter died`() {
        startRegions()
        val reporter = mesh.nodes.getValue(NodeId("north-0"))
        reporter.components.drainingServers.mark(instance, "eviction notice", mesh.clock.now())
        advanceRefreshing(6)
        assertTrue(mesh.nodes.values.filter { it.place.region.value == "north" }.all(::knowsDraining))

        advanceRefreshing(12)
        assertTrue(mesh.nodes.values.all(::knowsDraining))
        mesh.kill(reporter.place.address.node)
        advanceRefreshing(60)
        start("north-8", "north")
        advanceRefreshing(20)

        assertTrue(mesh.nodes.values.all(::knowsDraining))
    }

    @Test
    fun `a new incarnation of a draining server is not draining`() {
        startRegions()
        val draining = mesh.nodes.getValue(NodeId("north-0")).components.drainingServers
        draining.mark(instance, "its own report", mesh.clock.now())

        assertTrue(draining.isDraining(instance.server, "boot-1"))
        assertTrue(!draining.isDraining(instance.server, "boot-2"))
    }

    @Test
    fun `a topic can be opened only once`() {
        startRegions()

        assertFailsWith<IllegalStateException> {
            mesh.nodes.getValue(NodeId("north-0")).components.gossip.topic("load", Load.serializer())
        }
    }

    private fun startRegions() {
        listOf("north", "south").forEach { region -> repeat(5) { start("$region-$it", region) } }
        mesh.advance(20.seconds)
    }

    private fun start(name: String, region: String) {
        val node = mesh.start(name, region)
        topics[node.place.address.node] =
            node.components.gossip.topic("load", Load.serializer()) { all -> Load(all.sumOf { it.tokens }) }
    }

    private fun publish(value: (NodeId) -> Int) = topics.forEach { (node, topic) -> topic.publish(Load(value(node))) }

    private fun knowsDraining(node: org.persimmonrelay.standin.VirtualNode) =
        node.components.drainingServers.isDraining(instance.server, instance.incarnation)

    private fun advanceRefreshing(seconds: Int) = repeat(seconds) {
        mesh.advance(1.seconds)
        mesh.nodes.values.forEach { node ->
            val members = node.components.membership.view.value.members.filter { it.region == node.place.region }
            node.components.drainingServers.refresh(members, mesh.clock.now())
        }
    }

    @Serializable
    data class Load(val tokens: Int, val note: String = "")

    private companion object {
        val NORTH = setOf("north-0", "north-1", "north-2", "north-3", "north-4")
    }
}
