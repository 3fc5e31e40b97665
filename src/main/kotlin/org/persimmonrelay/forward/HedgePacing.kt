package org.persimmonrelay.forward

import org.persimmonrelay.clock.Moment
import kotlin.time.Duration.Companion.milliseconds

/** Tells when to look again for another server for an overdue request, at growing intervals. */
internal class HedgePacing {
    private var interval = FIRST_INTERVAL

    /** No server is looked for before. */
    var nextAt = Moment.ZERO
        private set

    /** A server was looked for at [now]. */
    fun tried(now: Moment) {
        nextAt = now + interval
        interval = minOf(interval * 2, MAX_INTERVAL)
    }

    /** A server got the request. */
    fun started() {
        nextAt = Moment.ZERO
        interval = FIRST_INTERVAL
    }

    private companion object {
        val FIRST_INTERVAL = 200.milliseconds
        val MAX_INTERVAL = 1_000.milliseconds
    }
}
