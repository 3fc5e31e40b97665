package org.persimmonrelay.backend

import org.persimmonrelay.clock.Moment
import kotlin.time.Duration

/** One request's stay at a server, from its sending to its end. Confined to the traffic thread. */
public class InFlightRequest internal constructor(
    private val load: ServerLoad,
    private val model: FirstAnswerModel,
    private val chosen: Placement.Chosen,
    private val tokensAhead: Int,
    private val learns: Boolean,
) {
    private var awaitsFirst = true
    private var open = true

    /** The first part of the answer came [took] after the sending. */
    public fun firstResponse(took: Duration, now: Moment) {
        if (!awaitsFirst) return
        leaveQueue()
        if (!learns) return
        load.surprised(took - chosen.expected, now)
        model.learn(tokensAhead, took - (chosen.fetch?.takes ?: Duration.ZERO))
    }

    /** The server answered in full, or the caller left before. */
    public fun succeeded() {
        if (close()) load.succeeded()
    }

    /** The caller left, or the time was up for reasons that say nothing of the server. */
    public fun abandoned() {
        close()
    }

    /** The server failed the request. */
    public fun failed(now: Moment) {
        if (close()) load.failed(now)
    }

    /** The server said that it is full or leaving. */
    public fun rejected(now: Moment) {
        if (close()) load.rejected(now)
    }

    /** No connection to the server could be made. */
    public fun unreachable(now: Moment) {
        if (close()) load.unreachable(now)
    }

    private fun close(): Boolean {
        if (!open) return false
        open = false
        leaveQueue()
        load.ended()
        return true
    }

    private fun leaveQueue() {
        if (!awaitsFirst) return
        awaitsFirst = false
        load.firstResponse(chosen.prefillTokens)
    }
}
