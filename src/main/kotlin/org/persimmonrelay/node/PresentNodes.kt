package org.persimmonrelay.node

import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.membership.Member
import org.persimmonrelay.membership.Membership
import org.persimmonrelay.membership.MembershipView

/**
 * The members that take part and are [chosen], as one list that stays the same object until it changes, since who
 * ranks nodes by it does so anew for each new list. Thread-safe.
 */
internal class PresentNodes(private val membership: Membership, private val chosen: (Member) -> Boolean) {
    private var seen: MembershipView? = null
    private var nodes: List<NodeId> = emptyList()

    @Synchronized
    fun now(): List<NodeId> {
        val view = membership.view.value
        if (view === seen) return nodes
        seen = view
        val present = view.members.filter { it.state.isPresent && chosen(it) }.map { it.address.node }
        if (present != nodes) nodes = present
        return nodes
    }
}
