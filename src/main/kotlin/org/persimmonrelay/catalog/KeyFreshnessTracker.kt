package org.persimmonrelay.catalog

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.membership.MemberState
import org.persimmonrelay.membership.Membership
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration

/** This node's [KeyFreshness], shared by the loops that feed it and the traffic that asks it. Thread-safe. */
public class KeyFreshnessTracker(private val membership: Membership, bound: Duration) {
    private val state = AtomicReference(KeyFreshness(bound))

    /** This node's name. */
    public val self: NodeId
        get() = membership.view.value.self.address.node

    /** True once the node has loaded a configuration that was the newest when it did. */
    public val started: Boolean
        get() = state.get().started

    /** True while keys may be trusted. */
    public fun isFresh(now: Moment): Boolean {
        val known = state.get()
        if (known.storeConfirmed.let { it != null && now - it <= known.bound }) return true
        return known.isFresh(self, expectedNodes(), now)
    }

    /** Time since the newest confirmation by the table service, or null when there was none. */
    public fun storeAge(now: Moment): Duration? = state.get().storeConfirmed?.let { now - it }

    /** The head row was read by a call that began at [began], and its version was adopted. */
    public fun onHeadRead(began: Moment, now: Moment): Unit = update(now) { it.onHeadRead(began) }

    /** A peer answered a question of [sent]; [version] is this node's own after adopting what it could. */
    public fun onReport(report: FreshnessReport, version: Long, sent: Moment, now: Moment): Unit =
        update(now) { it.onReport(report, version, sent) }

    /** What to tell a peer. Reads the knowledge before [version] is asked, so that the version is never too low. */
    public fun report(now: Moment, version: () -> Long): FreshnessReport {
        val known = state.get()
        return known.report(self, version(), now)
    }

    /** Nodes that this one should see: all that have not left on purpose. */
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
