/*
 * Decides whether this node's key states are recent enough to use. A withdrawal counts as confirmed once a majority
 * of the nodes has acknowledged it. This node has every confirmed withdrawal that is older than the freshness limit
 * when one of these conditions holds:
 *
 *  - Within the limit, a read of the head row confirmed that this node's version was the newest. Peers report such
 *    confirmations of their own together with the age, and these count as well.
 *  - Within the limit, this node learned the versions of a majority of the expected nodes and has adopted the
 *    highest. That majority and the one that acknowledged the withdrawal have at least one node in common.
 *
 * A peer also reports the nodes whose versions it has learned and adopted, each with the age of that information.
 * Ages are added up along the way and measured from before the request was sent, so that information is never
 * considered newer than it is.
 *
 * A node that has just started has no valid information, whatever its previous process acknowledged. It counts neither
 * for itself nor for others until its start is complete, which requires a confirmation by the head row or by a majority
 * of the nodes that does not include itself.
 */
package org.persimmonrelay.catalog

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.NodeId
import kotlin.time.Duration

/**
 * What a node reports to a peer about its configuration. [storeAge] is the time since the table service last confirmed
 * [version], null if that is over the limit; [nodeAges] has the time since each node's version was learned. These are
 * durations because a [Moment] is only valid within one process.
 */
public data class FreshnessReport(
    val from: NodeId,
    val started: Boolean,
    val version: Long,
    val storeAge: Duration?,
    val nodeAges: Map<NodeId, Duration>,
)

/**
 * Evidence that this node has the newest configuration: [storeConfirmed] is when the table service last confirmed it,
 * [nodeTimes] when the version of each node was last learned and adopted. Immutable; functions return the next state.
 */
public data class KeyFreshness(
    val limit: Duration,
    val started: Boolean = false,
    val storeConfirmed: Moment? = null,
    val nodeTimes: Map<NodeId, Moment> = emptyMap(),
) {
    /** Records that a call started at [startedAt] read the head row, and that this node has that version. */
    public fun onHeadRead(startedAt: Moment): KeyFreshness = copy(storeConfirmed = latest(storeConfirmed, startedAt))

    /**
     * Records [report], the response to a probe sent at [sentAt]. [version] is the version of this node after adopting
     * newer versions from the peer. A report of a version that is still newer is ignored.
     */
    public fun onReport(report: FreshnessReport, version: Long, sentAt: Moment): KeyFreshness {
        if (!report.started || report.version > version) return this
        val all = HashMap(nodeTimes)
        all[report.from] = latest(nodeTimes[report.from], sentAt)
        report.nodeAges.forEach { (node, age) -> all[node] = latest(all[node], sentAt - age) }
        return copy(storeConfirmed = latest(storeConfirmed, report.storeAge?.let { sentAt - it }), nodeTimes = all)
    }

    /** True while key states are recent enough to use. [members] are the expected nodes, including [self]. */
    public fun isFresh(self: NodeId, members: Set<NodeId>, now: Moment): Boolean {
        if (storeConfirmed.isWithinLimit(now)) return true
        val others = members.count { it != self && nodeTimes[it].isWithinLimit(now) }
        val known = if (started) others + 1 else others
        return known * 2 > members.size
    }

    /** Lets this node count itself from now on. Call it when [isFresh] is true for the first time. */
    public fun onStarted(): KeyFreshness = copy(started = true)

    /** The report for a peer at [now]. Information older than the limit is omitted. */
    public fun report(self: NodeId, version: Long, now: Moment): FreshnessReport = FreshnessReport(
        from = self,
        started = started,
        version = version,
        storeAge = storeConfirmed?.let { now - it }?.takeIf { it <= limit },
        nodeAges = nodeTimes.mapValues { now - it.value }.filter { it.value <= limit },
    )

    /** Removes nodes that are not in [members]. */
    public fun retain(members: Set<NodeId>): KeyFreshness =
        if (nodeTimes.keys.all { it in members }) this else copy(nodeTimes = nodeTimes.filterKeys { it in members })

    private fun Moment?.isWithinLimit(now: Moment) = this != null && now - this <= limit

    private fun latest(one: Moment?, other: Moment): Moment = if (one == null || other > one) other else one

    @JvmName("latestOrNull")
    private fun latest(one: Moment?, other: Moment?): Moment? = if (other == null) one else latest(one, other)
}
