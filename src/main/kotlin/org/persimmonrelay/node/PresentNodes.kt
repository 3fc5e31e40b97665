package org.persimmonrelay.node

import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.membership.Member
import org.persimmonrelay.membership.Membership
import org.persimmonrelay.membership.MembershipView

/**
 * Nodes whose membership state is present and that match [filter]. The same list object is returned until the list
 * changes, because callers compute a new ranking of the nodes for each new list. Thread-safe.
 */
internal class PresentNodes(private val membership: Membership, private val filter: (Member) -> Boolean) {
    private var lastView: MembershipView? = null
    private var nodes: List<NodeId> = emptyList()

    @Synchronized
    fun current(): List<NodeId> {
        val view = membership.view.value
        if (view === lastView) return nodes
        lastView = view
        val present = view.members.filter { it.state.isPresent && filter(it) }.map { it.address.node }
        if (present != nodes) nodes = present
        return nodes
    }
}
