package org.persimmonrelay.forward

import kotlin.time.Duration

/**
 * Decides how long an attempt waits for the start of a response before another server is asked, too. Beside a server
 * that does not respond another one is asked soon; but when most responses are late, the others are as busy, and a
 * second request only makes the queues longer.
 */
internal class AttemptTimeouts(private val settings: ForwardSettings) {
    /**
     * The timeout of an attempt whose first part is due after [expected], on a route with [latencyTarget], while
     * responses come [usualLateness] later than expected; [remaining] is left for the request.
     */
    fun timeout(expected: Duration, latencyTarget: Duration, usualLateness: Duration, remaining: Duration): Duration {
        val usual = maxOf(
            settings.minAttemptTimeout,
            latencyTarget * settings.latencyTargetFactor,
            expected * 2 + settings.minAttemptTimeout,
        )
        return minOf(usual + usualLateness * settings.latenessFactor, remaining * settings.remainingTimeShare)
    }
}
