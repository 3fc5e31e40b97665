package org.persimmonrelay.node

import kotlinx.coroutines.flow.MutableStateFlow
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.Region
import org.persimmonrelay.membership.Member
import org.persimmonrelay.membership.MemberState
import org.persimmonrelay.membership.Membership
import org.persimmonrelay.membership.MembershipView
import org.persimmonrelay.peer.PeerAddress
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertSame

class PresentNodesTest {
    private val members = FakeMembership(member("n1", "puget"), member("n2", "inland"), member("n3", "puget"))
    private val nodes = PresentNodes(members) { it.region.value == "puget" }

    @Test
    fun `only present members that match the filter are listed`() {
        members.setMembers(member("n1", "puget"), member("n2", "inland"), member("n3", "puget", MemberState.FAILED))

        assertEquals(listOf(NodeId("n1")), nodes.current())
    }

    @Test
    fun `the list stays the same object when only other members change`() {
        val before = nodes.current()

        members.setMembers(member("n1", "puget"), member("n2", "inland", MemberState.FAILED), member("n3", "puget"))

        assertSame(before, nodes.current())
    }

    private class FakeMembership(vararg members: Member) : Membership {
        override val view = MutableStateFlow(MembershipView(members.first(), members.toList()))

        fun setMembers(vararg members: Member) {
            view.value = MembershipView(members.first(), members.toList())
        }

        override suspend fun leave() = Unit
    }

    private companion object {
        fun member(node: String, region: String, state: MemberState = MemberState.ALIVE) = Member(
            address = PeerAddress(NodeId(node), Incarnation("1"), "127.0.0.1", 1),
            domain = FailureDomain("$region-a"),
            region = Region(region),
            state = state,
        )
    }
}
