package org.persimmonrelay.membership

import org.junit.jupiter.api.AfterEach
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.standin.VirtualMesh
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class SwimMembershipTest {
    private val mesh = VirtualMesh(seed = 7)
    private val failed = mutableListOf<String>()

    init {
        mesh.onEvent =
            { _, event, fields -> if (event == MembershipEvent.MEMBER_FAILED) failed += fields.getValue("member") }
    }

    @AfterEach
    fun close() = mesh.close()

    @Test
    fun `nodes of all regions discover each other`() {
        startRegions()

        assertAllSee(mesh.nodes.keys)
        assertEquals(emptyList(), failed)
    }

    @Test
    fun `a killed node is declared failed everywhere and rejoins as a new incarnation`() {
        startRegions()
        mesh.kill(NodeId("north-0"))
        mesh.advance(40.seconds)
        assertAllSee(mesh.nodes.keys)

        val restarted = mesh.start("north-0", "north")
        mesh.advance(20.seconds)

        assertAllSee(mesh.nodes.keys)
        val addresses = mesh.nodes.values.map { node ->
            node.components.membership.view.value.members.single {
                it.address.node ==
                    restarted.place.address.node
            }
        }
        assertTrue(addresses.all { it.address.incarnation == restarted.place.address.incarnation })
    }

    @Test
    fun `a node that leaves is no longer serving and is not declared failed`() {
        startRegions()
        val leavingNode = mesh.nodes.getValue(NodeId("south-1"))
        mesh.run(leavingNode) { leavingNode.components.membership.leave() }
        mesh.advance(15.seconds)
        assertAllSee(mesh.nodes.keys - leavingNode.place.address.node)

        mesh.run(leavingNode) { leavingNode.components.membership.completeLeave() }
        mesh.advance(2.seconds)
        mesh.kill(leavingNode.place.address.node)
        mesh.advance(30.seconds)

        assertEquals(emptyList(), failed)
    }

    @Test
    fun `regions separated by a partition keep each other's members and converge after it heals`() {
        startRegions()
        mesh.hub.partition(mesh.nodes.keys.filter { "north" in it.value }.toSet())
        mesh.advance(60.seconds)
        assertAllSee(mesh.nodes.keys)
        mesh.start("south-9", "south")
        mesh.kill(NodeId("south-0"))
        mesh.advance(60.seconds)

        mesh.hub.heal()
        mesh.advance(30.seconds)

        assertAllSee(mesh.nodes.keys)
        assertEquals(setOf("south-0"), failed.toSet())
    }

    @Test
    fun `a paused node declares no other node failed when it resumes`() {
        startRegions()
        mesh.pause(NodeId("north-1"))
        mesh.advance(60.seconds)
        assertTrue(NodeId("north-1") !in mesh.nodes.getValue(NodeId("north-2")).serving())

        mesh.resume(NodeId("north-1"))
        mesh.advance(30.seconds)

        assertAllSee(mesh.nodes.keys)
        assertEquals(setOf("north-1"), failed.toSet())
    }

    @Test
    fun `a region split by a partition converges after it heals`() {
        startRegions()
        mesh.hub.partition(setOf(NodeId("north-0"), NodeId("north-1")))
        mesh.advance(90.seconds)

        mesh.hub.heal()
        mesh.advance(60.seconds)

        assertAllSee(mesh.nodes.keys)
    }

    @Test
    fun `a node waits for the table before it joins`() {
        mesh.table.faults.down = true
        startRegions()
        assertTrue(mesh.nodes.values.all { it.serving().size == 1 })

        mesh.table.faults.down = false
        mesh.advance(60.seconds)

        assertAllSee(mesh.nodes.keys)
    }

    @Test
    fun `nodes discover each other within a minute with ten percent message loss and duplication`() {
        mesh.hub.loss = 0.1
        mesh.hub.duplication = 0.1
        startRegions()
        mesh.advance(30.seconds)

        assertAllSee(mesh.nodes.keys)
    }

    private fun startRegions() {
        listOf("north", "south", "west").forEach { region -> repeat(4) { mesh.start("$region-$it", region) } }
        mesh.advance(30.seconds)
    }

    private fun assertAllSee(expected: Set<NodeId>) {
        mesh.nodes.values.filter { it.place.address.node in expected }.forEach {
            assertEquals(
                expected.map(NodeId::value).sorted(),
                it.serving().map(NodeId::value),
                "seen by ${it.place.address.node}",
            )
        }
    }
}
