package org.persimmonrelay.load

import org.persimmonrelay.backend.NodeLocation
import org.persimmonrelay.membership.UdpPeer

/**
 * Whom the node at [place] tells of its load, among [peers]. Work goes to near servers first, so near nodes matter
 * most; where there are many nodes, only they are told, so that the traffic of a node does not grow with all nodes.
 */
public fun loadReportRecipients(place: NodeLocation, peers: List<UdpPeer>): LoadReportRecipients {
    val (near, far) = peers.partition { place.isSameRegion(it.domain) }
    if (peers.size <= MOST_PEERS) return LoadReportRecipients(near, far)
    if (near.size <= MOST_PEERS) return LoadReportRecipients(near, emptyList())
    return LoadReportRecipients(near.filter { it.domain == place.domain }.take(MOST_PEERS), emptyList())
}

private const val MOST_PEERS = 16
