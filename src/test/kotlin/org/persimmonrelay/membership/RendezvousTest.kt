package org.persimmonrelay.membership

import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.Region
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.peer.PeerAddress
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class RendezvousTest {
    private val north = Region("north")
    private val members = List(46) { member("node-$it", MemberState.ALIVE) }
    private val servers = List(1_300) { ServerId("engine-$it") }

    @Test
    fun `only the servers of a removed collector get another collector`() {
        val removed = members[5].address.node
        val before = servers.associateWith { collector(it, members) }
        val after = servers.associateWith { collector(it, members.filter { it.address.node != removed }) }

        val moved = servers.filter { before[it] != after[it] }

        assertTrue(moved.isNotEmpty())
        assertTrue(moved.all { before[it] == removed })
    }

    @Test
    fun `servers are spread over all members`() {
        val counts = servers.groupingBy { collector(it, members) }.eachCount()

        assertEquals(members.size, counts.size)
        assertTrue(counts.values.max() < 3 * servers.size / members.size)
    }

    @Test
    fun `members that are leaving or failed and members of other regions are not collectors`() {
        val ineligible =
            listOf(
                member("a", MemberState.LEAVING),
                member("b", MemberState.FAILED),
                member("c", MemberState.ALIVE, "south"),
            )

        assertNull(CollectorAssignment.collectorOf(servers.first(), north, ineligible))
    }

    private fun collector(server: ServerId, members: List<Member>) =
        CollectorAssignment.collectorOf(server, north, members)?.address?.node

    private fun member(name: String, state: MemberState, region: String = "north") =
        Member(PeerAddress(NodeId(name), Incarnation("1"), "10.0.0.1", 1), FailureDomain("a"), Region(region), state)
}
