package org.persimmonrelay.platform

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Whether the store answers this node. Confined to the control thread, but [isUnsteady]. */
public class StoreHealth(private val events: EventSink, private val regained: (Moment) -> Unit) {
    private var lostAt: Moment? = null

    /** True while the store does not answer. */
    @Volatile
    public var isUnsteady: Boolean = false
        private set

    /** A call was answered. */
    public fun answered(now: Moment) {
        val since = lostAt ?: return
        lostAt = null
        isUnsteady = false
        events.record(PlatformEvent.STORE_REGAINED, "awayMillis" with (now - since).inWholeMilliseconds)
        if (now - since > NOTICED) regained(now)
    }

    /** A call was not answered. */
    public fun failed(message: String, now: Moment) {
        if (lostAt != null) return
        lostAt = now
        isUnsteady = true
        events.record(PlatformEvent.STORE_LOST, "why" with message)
    }

    private companion object {
        /** Shorter gaps let no entry lapse. */
        val NOTICED: Duration = 300.milliseconds
    }
}
