package org.persimmonrelay.catalog

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.membership.MemberState
import org.persimmonrelay.membership.Membership
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration

/** The [KeyFreshness] of this node, updated after polls and probes and read by request handling. Thread-safe. */
public class KeyFreshnessTracker(private val membership: Membership, limit: Duration) {
    private val state = AtomicReference(KeyFreshness(limit))

    /** The id of this node. */
    public val self: NodeId
        get() = membership.view.value.self.address.node

    /** True once this node has loaded a configuration that was the newest at the time of loading. */
    public val started: Boolean
        get() = state.get().started

    /** True while key states are recent enough to use. */
    public fun isFresh(now: Moment): Boolean {
        val known = state.get()
        if (known.storeConfirmed.let { it != null && now - it <= known.limit }) return true
        return known.isFresh(self, expectedNodes(), now)
    }

    /** Time since the table service last confirmed the version; null when it never did. */
    public fun storeAge(now: Moment): Duration? = state.get().storeConfirmed?.let { now - it }

    /** Records that a call started at [startedAt] read the head row, and that its version was adopted. */
    public fun onHeadRead(startedAt: Moment, now: Moment): Unit = update(now) { it.onHeadRead(startedAt) }

    /**
     * Records the response to a probe sent at [sentAt]. [version] is the version of this node after adopting newer
     * versions from the peer.
     */
    public fun onReport(report: FreshnessReport, version: Long, sentAt: Moment, now: Moment): Unit =
        update(now) { it.onReport(report, version, sentAt) }

    /** Creates a report for a peer. Reads the state before calling [version], so that the version is never too low. */
    public fun report(now: Moment, version: () -> Long): FreshnessReport {
        val known = state.get()
        return known.report(self, version(), now)
    }

    /** All nodes that have not left on purpose, including failed nodes and this one. */
    public fun expectedNodes(): Set<NodeId> = membership.view.value.members
        .filter { it.state != MemberState.LEFT }
        .mapTo(mutableSetOf(self)) { it.address.node }

    private fun update(now: Moment, change: (KeyFreshness) -> KeyFreshness) {
        val members = expectedNodes()
        state.updateAndGet { before ->
            val next = change(before).retain(members)
            if (!next.started && next.isFresh(self, members, now)) next.onStarted() else next
        }
    }
}
