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
    private val life = ServerLife(ServerId("engine-1"), "boot-1")
    private val topics = HashMap<NodeId, GossipTopic<Load>>()

    @AfterEach
    fun close() = mesh.close()

    @Test
    fun `the last value of each node is known in its region and the sum of a region in the others`() {
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
    fun `values of a failed node are dropped and a restarted one's are taken although it counts from one again`() {
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
    fun `a value over its bound is not spread`() {
        startRegions()
        var refused = 0
        mesh.onEvent = { _, event, _ -> if (event == MembershipEvent.GOSSIP_TOO_LARGE) refused++ }
        topics.getValue(NodeId("north-0")).publish(Load(1, "x".repeat(Gossip.MAX_VALUE_BYTES)))
        mesh.advance(10.seconds)

        assertEquals(1, refused)
        assertTrue(NodeId("north-0") !in topics.getValue(NodeId("north-1")).local.value)
    }

    @Test
    fun `a leaving server is known in its region within seconds, elsewhere soon, and after its witness died`() {
        startRegions()
        val witness = mesh.nodes.getValue(NodeId("north-0"))
        witness.components.drainingServers.mark(life, "eviction notice", mesh.clock.now())
        advanceRefreshing(6)
        assertTrue(mesh.nodes.values.filter { it.place.region.value == "north" }.all(::knows))

        advanceRefreshing(12)
        assertTrue(mesh.nodes.values.all(::knows))
        mesh.kill(witness.place.address.node)
        advanceRefreshing(60)
        start("north-8", "north")
        advanceRefreshing(20)

        assertTrue(mesh.nodes.values.all(::knows))
    }

    @Test
    fun `a new life of a leaving server is not leaving`() {
        startRegions()
        val leaving = mesh.nodes.getValue(NodeId("north-0")).components.drainingServers
        leaving.mark(life, "its own word", mesh.clock.now())

        assertTrue(leaving.isLeaving(life.server, "boot-1"))
        assertTrue(!leaving.isLeaving(life.server, "boot-2"))
    }

    @Test
    fun `a topic is opened once`() {
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

    private fun knows(node: org.persimmonrelay.standin.VirtualNode) =
        node.components.drainingServers.isLeaving(life.server, life.incarnation)

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
