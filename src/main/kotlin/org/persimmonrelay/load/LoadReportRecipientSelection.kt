package org.persimmonrelay.load

import org.persimmonrelay.backend.NodeLocation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.membership.Rendezvous
import org.persimmonrelay.membership.UdpPeer

/**
 * Selects the nodes among [peers] that get load reports from [self] at [place]. Requests go to servers in the same
 * region first, so the reports of nodes in the region matter most. With more than [MAX_FAR_RECIPIENTS] peers only nodes
 * in the region get reports, and no more than [MAX_RECIPIENTS] of them, picked by rendezvous hashing so that each node
 * hears of as many others.
 */
public fun loadReportRecipients(self: NodeId, place: NodeLocation, peers: List<UdpPeer>): LoadReportRecipients {
    val (near, far) = peers.partition { place.isSameRegion(it.domain) }
    if (peers.size <= MAX_FAR_RECIPIENTS) return LoadReportRecipients(near, far, near.size)
    if (near.size <= MAX_RECIPIENTS) return LoadReportRecipients(near, emptyList(), near.size)
    val picked = Rendezvous.pickNodes(self.value, near.map { it.node }, MAX_RECIPIENTS).toSet()
    return LoadReportRecipients(near.filter { it.node in picked }, emptyList(), near.size)
}

private const val MAX_FAR_RECIPIENTS = 16
private const val MAX_RECIPIENTS = 32
