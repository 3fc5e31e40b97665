package org.persimmonrelay.platform

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Tracks whether the store responds to this node. An outage counts from the last successful call, since the first
 * failed one may come long after its start. Calls [onLost] when an outage is noticed. Confined to the control thread.
 */
public class StoreHealth(
    private val events: EventSink,
    private val onLost: () -> Unit = {},
    private val onRecovered: (Moment) -> Unit,
) {
    private var unavailableSince: Moment? = null
    private var lastSuccess: Moment? = null

    /** True while the store has been unavailable for so long that servers' entries may have expired meanwhile. */
    public fun entriesMayHaveExpired(now: Moment): Boolean = unavailableSince?.let { now - it >= MIN_EXPIRY } ?: false

    /** Records that a call succeeded; calls [onRecovered] when entries may have expired during the outage. */
    public fun recordSuccess(now: Moment) {
        lastSuccess = now
        val since = unavailableSince ?: return
        unavailableSince = null
        events.record(PlatformEvent.STORE_REGAINED, "awayMillis" with (now - since).inWholeMilliseconds)
        if (now - since >= MIN_EXPIRY) onRecovered(now)
    }

    /** Records that a call failed; the first failure starts the outage. */
    public fun recordFailure(message: String, now: Moment) {
        if (unavailableSince != null) return
        unavailableSince = lastSuccess ?: now
        events.record(PlatformEvent.STORE_LOST, "why" with message)
        onLost()
    }

    private companion object {
        /** An entry expires after several missed heartbeats, so none can expire because of a shorter outage. */
        val MIN_EXPIRY: Duration = 2.seconds
    }
}
