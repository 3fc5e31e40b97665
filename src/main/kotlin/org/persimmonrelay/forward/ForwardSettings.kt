package org.persimmonrelay.forward

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Timeouts and limits of forwarding. A part of a response is overdue, where another attempt is allowed, after the
 * largest of [minAttemptTimeout], the route's latency target times [latencyTargetFactor], and twice the expected time
 * plus [minAttemptTimeout], and later by [latenessFactor] times the time by which responses usually come late at
 * present, but at most after [remainingTimeShare] of the time to the deadline. Between stream events that is the
 * route's pause target times [pauseTargetFactor]. Responses of up to [maxBufferedBytes] bytes are buffered, so that
 * they can be discarded and the request retried. Events of a stream have at most [maxEventBytes].
 */
public data class ForwardSettings(
    val connectTimeout: Duration = 400.milliseconds,
    val minAttemptTimeout: Duration = 500.milliseconds,
    val latencyTargetFactor: Double = 1.6,
    val latenessFactor: Double = 2.0,
    val pauseTargetFactor: Double = 4.0,
    val remainingTimeShare: Double = 0.55,
    val maxBufferedBytes: Int = DEFAULT_MAX_BUFFERED_BYTES,
    val maxEventBytes: Int = DEFAULT_MAX_EVENT_BYTES,
) {
    private companion object {
        const val DEFAULT_MAX_BUFFERED_BYTES = 256 * 1024
        const val DEFAULT_MAX_EVENT_BYTES = 256 * 1024
    }
}
