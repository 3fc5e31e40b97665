package org.persimmonrelay.node

import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.backend.NodeLocation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.membership.Rendezvous
import org.persimmonrelay.membership.UdpPeer

/**
 * Decides whether the node [self] at [location] is one of the nodes that poll an engine for its cache reports. An engine
 * keeps only a few such calls waiting; where there are more nodes, those in its region come first. Nodes with the same
 * view of the others decide alike. Results are kept until the peers change. Confined to the traffic thread.
 */
internal class ReportPollerAssignment(private val self: NodeId, private val location: NodeLocation) {
    private var peers: List<UdpPeer> = emptyList()
    private val isPoller = HashMap<ServerId, Boolean>()

    /** True when this node is one of [count] nodes that poll [server]; [current] are the other running nodes. */
    fun isPoller(server: BackendServer, count: Int, current: List<UdpPeer>): Boolean {
        if (current !== peers) {
            peers = current
            isPoller.clear()
        }
        return isPoller.getOrPut(server.instance.id) { self in pollers(server, count) }
    }

    private fun pollers(server: BackendServer, count: Int): List<NodeId> {
        val region = location.regions[server.domain]
        val domains = peers.associate { it.node to it.domain } + (self to location.domain)
        val (near, far) = domains.keys.partition { location.regions[domains[it]] == region }
        val picked = Rendezvous.pickNodes(server.instance.id.value, near, count)
        return picked + Rendezvous.pickNodes(server.instance.id.value, far, count - picked.size)
    }
}
