package org.persimmonrelay.http

import org.persimmonrelay.clock.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * How long bytes of a request may be on the way to its server, as far as the node can tell: the system takes a request
 * of [bodyBytes] long before the server has it. The request was sent from [startedAt] on, the system had taken it at
 * [writtenAt], and the response began at [respondedAt].
 */
internal data class RequestTransit(
    val bodyBytes: Int,
    val startedAt: Moment,
    val writtenAt: Moment = startedAt,
    val respondedAt: Moment = startedAt,
) {
    /**
     * Until when the connection may be reset if the server ended its output, and closed the connection, before it had
     * the whole request; [endedAt] is when that end arrived here. A reset comes a round trip after the server's end if
     * bytes are on the way then, a second one later if the next are sent only by then, and never later than a round
     * trip after the last byte was sent.
     */
    fun resetDeadline(endedAt: Moment): Moment =
        minOf(endedAt + longestRoundTrip * 2, writtenAt + longestTransmission + longestRoundTrip)

    /** A server can't respond sooner than in a round trip. */
    private val longestRoundTrip: Duration
        get() = (respondedAt - startedAt).coerceAtMost(MAX_ROUND_TRIP)

    private val longestTransmission: Duration
        get() = (bodyBytes / MIN_BYTES_PER_MILLI).milliseconds

    private companion object {
        /** Longer than between any two regions; what takes longer is work of the server. */
        val MAX_ROUND_TRIP = 100.milliseconds

        /** A window of 64 KB in each round trip of 128 ms. */
        const val MIN_BYTES_PER_MILLI = 512
    }
}
