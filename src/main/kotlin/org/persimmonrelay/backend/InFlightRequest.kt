package org.persimmonrelay.backend

import org.persimmonrelay.clock.Moment
import kotlin.time.Duration

/** A request in flight at a server, from sending to its end. Confined to the traffic thread. */
public class InFlightRequest internal constructor(
    private val load: ServerLoad,
    private val model: FirstTokenTimeModel,
    private val chosen: Placement.Chosen,
    private val tokensAhead: Int,
    private val updatesModel: Boolean,
) {
    private var awaitsFirstResponse = true
    private var open = true

    /** The first part of the response arrived [elapsed] after the request was sent. */
    public fun firstResponse(elapsed: Duration, now: Moment) {
        if (!awaitsFirstResponse) return
        removePendingTokens()
        if (!updatesModel) return
        load.recordDelay(elapsed - chosen.expected, now)
        model.update(tokensAhead, elapsed - (chosen.fetch?.duration ?: Duration.ZERO))
    }

    /** The server sent its complete response, or the caller cancelled before that. */
    public fun succeeded() {
        if (close()) load.succeeded()
    }

    /** The caller cancelled, or the request timed out for reasons that are not the server's. */
    public fun abandoned() {
        close()
    }

    /** The server failed the request. */
    public fun failed(now: Moment) {
        if (close()) load.failed(now)
    }

    /** The server rejected the request because it is full or draining. */
    public fun rejected(now: Moment) {
        if (close()) load.rejected(now)
    }

    /** No connection to the server could be opened. */
    public fun unreachable(now: Moment) {
        if (close()) load.unreachable(now)
    }

    private fun close(): Boolean {
        if (!open) return false
        open = false
        removePendingTokens()
        load.ended()
        return true
    }

    private fun removePendingTokens() {
        if (!awaitsFirstResponse) return
        awaitsFirstResponse = false
        load.firstResponse(chosen.prefillTokens)
    }
}
