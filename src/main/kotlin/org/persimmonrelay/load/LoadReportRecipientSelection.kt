package org.persimmonrelay.load

import org.persimmonrelay.backend.NodeLocation
import org.persimmonrelay.membership.NodePeer

/**
 * Selects the nodes among [peers] that get load reports from the node at [place]. Requests go to servers in the same
 * region first, so the reports of nodes in the region matter most. With more than [MAX_RECIPIENTS] peers only these get
 * reports, and with more than [MAX_RECIPIENTS] nodes in the region only some in the same failure domain, so that the
 * traffic of a node does not grow with the number of nodes.
 */
public fun loadReportRecipients(place: NodeLocation, peers: List<NodePeer>): LoadReportRecipients {
    val (near, far) = peers.partition { place.isSameRegion(it.domain) }
    if (peers.size <= MAX_RECIPIENTS) return LoadReportRecipients(near, far)
    if (near.size <= MAX_RECIPIENTS) return LoadReportRecipients(near, emptyList())
    return LoadReportRecipients(near.filter { it.domain == place.domain }.take(MAX_RECIPIENTS), emptyList())
}

private const val MAX_RECIPIENTS = 16
