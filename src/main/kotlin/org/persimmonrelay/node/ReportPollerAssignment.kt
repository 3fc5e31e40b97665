package org.persimmonrelay.node

import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.backend.NodeLocation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.membership.Rendezvous
import org.persimmonrelay.membership.UdpPeer

/**
 * Decides whether the node [self] at [location] is one of the nodes that poll an engine for its cache reports.
 *
 * An engine keeps only a few such calls waiting. Where all nodes of its region can't poll it, [COLLECTORS] of them do
 * and tell the others. Nodes with the same view of the others decide alike; one more or less does no harm. Results are
 * kept until the peers change. Confined to the traffic thread.
 */
internal class ReportPollerAssignment(private val self: NodeId, private val location: NodeLocation) {
    private var peers: List<UdpPeer> = emptyList()
    private val isPoller = HashMap<ServerId, Boolean>()

    /** True when this node polls [server], which [maxPollers] may; [current] are the other running nodes. */
    fun isPoller(server: BackendServer, maxPollers: Int, current: List<UdpPeer>): Boolean {
        if (current !== peers) {
            peers = current
            isPoller.clear()
        }
        return isPoller.getOrPut(server.instance.id) { self in pollers(server, maxPollers) }
    }

    private fun pollers(server: BackendServer, maxPollers: Int): List<NodeId> {
        val region = location.regions[server.domain]
        val domains = peers.associate { it.node to it.domain } + (self to location.domain)
        val (near, far) = domains.keys.partition { location.regions[domains[it]] == region }
        if (domains.size <= maxPollers) return domains.keys.toList()
        val count = if (near.size <= maxPollers) maxPollers else minOf(COLLECTORS, maxPollers)
        val picked = Rendezvous.pickNodes(server.instance.id.value, near, count)
        return picked + Rendezvous.pickNodes(server.instance.id.value, far, count - picked.size)
    }

    private companion object {
        /** Two, so that the caches of an engine stay known while the loss of one collector is not yet noticed. */
        const val COLLECTORS = 2
    }
}
