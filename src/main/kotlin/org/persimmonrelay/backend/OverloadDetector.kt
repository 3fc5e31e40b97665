package org.persimmonrelay.backend

import org.persimmonrelay.clock.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Tells a lasting overload of one service from a short peak, as controlled-delay queue management does.
 *
 * In a short peak every request is accepted that can start before its deadline: a late response is better than none.
 * When requests have waited too long for [PEAK_DURATION], the load is above the capacity, and waiting gains nothing:
 * as many requests as before are served, but all of them late. Then requests are refused that would wait longer than
 * their latency target allows, so that those that are accepted are served on time.
 */
internal class OverloadDetector {
    private var waitingSince: Moment? = null
    private var lastLongWait: Moment? = null
    private var longestWait = Duration.ZERO
    private var isOverloaded = false

    /** Records that the best server for a request with [latencyTarget] has it wait for [wait]. */
    fun record(wait: Duration, latencyTarget: Duration, now: Moment) {
        val isCalm = lastLongWait?.let { now - it > CALM_DURATION } ?: true
        if (isCalm) isOverloaded = false
        if (!isLong(wait, latencyTarget)) {
            waitingSince = null
            return
        }
        if (waitingSince == null || isCalm) longestWait = Duration.ZERO
        val since = waitingSince?.takeUnless { isCalm } ?: now
        waitingSince = since
        lastLongWait = now
        longestWait = maxOf(longestWait, wait)
        val isDraining = wait < longestWait * DRAINING_SHARE
        if (now - since >= PEAK_DURATION && !isDraining) isOverloaded = true
    }

    /** True if a request must not wait for [wait], because the overload lasts. */
    fun isTooLong(wait: Duration, latencyTarget: Duration): Boolean = isOverloaded && isLong(wait, latencyTarget)

    private fun isLong(wait: Duration, latencyTarget: Duration) = wait > latencyTarget * LONG_WAIT_SHARE

    private companion object {
        /** Share of the latency target that a request may wait; it needs the rest for itself. */
        const val LONG_WAIT_SHARE = 0.75

        /** Share of the longest wait below which the queue of a peak that has ended is being served. */
        const val DRAINING_SHARE = 0.9
        val PEAK_DURATION = 300.milliseconds

        /** Time without a long wait after which the overload is over. */
        val CALM_DURATION = 1_000.milliseconds
    }
}
