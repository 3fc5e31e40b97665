package org.persimmonrelay.node

import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.backend.NodeLocation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.Region
import org.persimmonrelay.membership.UdpPeer

/**
 * Selects the nodes that share the limit of a backend server with the node [self] at [location]. Of more than
 * [ALL_SHARE] nodes only those in the server's region do: the others have servers of their own nearby and would leave
 * their shares unused. Results are kept until the peers change. Confined to the traffic thread.
 */
internal class LimitSharers(private val self: NodeId, private val location: NodeLocation) {
    private var peers: List<UdpPeer> = emptyList()
    private val byRegion = HashMap<Region?, List<NodeId>>()

    /** The nodes that share the limit of [server], sorted; [current] are the other running nodes. */
    fun of(server: BackendServer, current: List<UdpPeer>): List<NodeId> {
        if (current !== peers) {
            peers = current
            byRegion.clear()
        }
        return byRegion.getOrPut(location.regions[server.domain]) { select(location.regions[server.domain]) }
    }

    private fun select(region: Region?): List<NodeId> {
        val domains = peers.associate { it.node to it.domain } + (self to location.domain)
        val near = domains.filterValues { location.regions[it] == region }.keys
        val sharers = if (domains.size <= ALL_SHARE || near.isEmpty()) domains.keys else near
        return sharers.sortedBy { it.value }
    }

    private companion object {
        const val ALL_SHARE = 16
    }
}
