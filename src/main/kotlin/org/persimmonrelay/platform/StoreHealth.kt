package org.persimmonrelay.platform

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Whether the store answers this node. Confined to the control thread. */
public class StoreHealth(private val events: EventSink, private val onRecovered: (Moment) -> Unit) {
    private var lostAt: Moment? = null

    /** True while the store has been away for so long that servers' entries may have lapsed meanwhile. */
    public fun entriesMayHaveExpired(now: Moment): Boolean = lostAt?.let { now - it >= SHORTEST_LAPSE } ?: false

    /** A call was answered. */
    public fun recordSuccess(now: Moment) {
        val since = lostAt ?: return
        lostAt = null
        events.record(PlatformEvent.STORE_REGAINED, "awayMillis" with (now - since).inWholeMilliseconds)
        if (now - since >= SHORTEST_LAPSE) onRecovered(now)
    }

    /** A call was not answered. */
    public fun recordFailure(message: String, now: Moment) {
        if (lostAt != null) return
        lostAt = now
        events.record(PlatformEvent.STORE_LOST, "why" with message)
    }

    private companion object {
        /** An entry lapses after several heartbeats; shorter gaps say nothing of servers that vanish. */
        val SHORTEST_LAPSE: Duration = 2.seconds
    }
}
