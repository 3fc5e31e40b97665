/*
 * May this node still trust what it knows of keys? A withdrawal counts as confirmed once a majority of the nodes
 * has acknowledged it. This node therefore has every confirmed withdrawal that is older than the bound when one
 * of these holds:
 *
 *  - it confirmed within the bound, by a read of the head row, that its version was the newest. A peer that did
 *    so passes its confirmation on with its age;
 *  - within the bound it knew the versions of a majority of the nodes that it should see and has adopted the
 *    highest: that majority and the one that acknowledged the withdrawal share a node.
 *
 * What is known of a node may be second-hand: a peer that knew the version of a third node, and had adopted it,
 * lends its knowledge with its age. Ages only add up, so that knowledge never looks younger than it is, and each
 * is counted from before the question was sent.
 *
 * A node that has just started knows nothing, whatever its predecessor acknowledged: it counts neither for itself
 * nor for others until it has started, by the head row or by a majority that leaves itself out.
 */
package org.persimmonrelay.catalog

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.NodeId
import kotlin.time.Duration

/** What a node tells a peer of its knowledge; durations because moments don't cross processes. */
public data class FreshnessReport(
    val from: NodeId,
    val started: Boolean,
    val version: Long,
    val storeAge: Duration?,
    val heard: Map<NodeId, Duration>,
)

/** Knowledge of the newest configuration: pure, all functions return the next state. */
public data class KeyFreshness(
    val bound: Duration,
    val started: Boolean = false,
    val storeConfirmed: Moment? = null,
    val heard: Map<NodeId, Moment> = emptyMap(),
) {
    /** The head was read by a call that began at [began], and this node has that version. */
    public fun onHeadRead(began: Moment): KeyFreshness = copy(storeConfirmed = latest(storeConfirmed, began))

    /**
     * A peer answered [report] to a question that was sent at [sent]. [version] is this node's own after adopting
     * what it could; a report of a newer one tells nothing until it has been adopted.
     */
    public fun onReport(report: FreshnessReport, version: Long, sent: Moment): KeyFreshness {
        if (!report.started || report.version > version) return this
        val all = HashMap(heard)
        all[report.from] = latest(heard[report.from], sent)
        report.heard.forEach { (node, age) -> all[node] = latest(all[node], sent - age) }
        return copy(storeConfirmed = latest(storeConfirmed, report.storeAge?.let { sent - it }), heard = all)
    }

    /** True while keys may be trusted. [members] are the nodes that this one should see, [self] included. */
    public fun isFresh(self: NodeId, members: Set<NodeId>, now: Moment): Boolean {
        if (storeConfirmed.isWithinBound(now)) return true
        val others = members.count { it != self && heard[it].isWithinBound(now) }
        val known = if (started) others + 1 else others
        return known * 2 > members.size
    }

    /** Notes that this node may count itself from now on; to be called when [isFresh] first holds. */
    public fun onStarted(): KeyFreshness = copy(started = true)

    /** What to tell a peer now. Knowledge older than the bound is left out. */
    public fun report(self: NodeId, version: Long, now: Moment): FreshnessReport = FreshnessReport(
        from = self,
        started = started,
        version = version,
        storeAge = storeConfirmed?.let { now - it }?.takeIf { it <= bound },
        heard = heard.mapValues { now - it.value }.filter { it.value <= bound },
    )

    /** Forgets nodes that are no longer members. */
    public fun retain(members: Set<NodeId>): KeyFreshness =
        if (heard.keys.all { it in members }) this else copy(heard = heard.filterKeys { it in members })

    private fun Moment?.isWithinBound(now: Moment) = this != null && now - this <= bound

    private fun latest(one: Moment?, other: Moment): Moment = if (one == null || other > one) other else one

    @JvmName("latestOrNull")
    private fun latest(one: Moment?, other: Moment?): Moment? = if (other == null) one else latest(one, other)
}
