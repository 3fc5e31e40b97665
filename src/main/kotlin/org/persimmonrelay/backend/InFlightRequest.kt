package org.persimmonrelay.backend

import org.persimmonrelay.clock.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What is learned from the course of a request. [prefillSpeed] is null if its engine also decodes. */
internal class LearnedEstimates(
    val firstToken: FirstTokenTimeModel,
    val prefillSpeed: PrefillSpeed?,
    val serviceTime: ServiceTimeEstimate,
    val lateness: ResponseLateness,
    val learnsFirstToken: Boolean,
    val foundFreeSlot: Boolean,
)

/**
 * A request in flight at a server, from [sentAt] to its end. [prefilledAt] is the load of the server whose KV cache
 * this one fetches, if any. Confined to the traffic thread.
 */
public class InFlightRequest internal constructor(
    private val load: ServerLoad,
    private val estimates: LearnedEstimates,
    private val chosen: Placement.Chosen,
    private val tokensAhead: Int,
    private val prefilledAt: ServerLoad?,
    public val sentAt: Moment,
) {
    private var awaitsFirstResponse = true
    private var open = true

    /** When the first part of the response arrived; null before. */
    public var respondedAt: Moment? = null
        private set

    /** The first part of the response arrived [elapsed] after the request was sent. */
    public fun firstResponse(elapsed: Duration, now: Moment) {
        if (!awaitsFirstResponse) return
        respondedAt = now
        removePendingTokens()
        val excess = elapsed - (chosen.expected - chosen.learnedDelay)
        estimates.lateness.record(elapsed - chosen.expected, now)
        if (estimates.learnsFirstToken) {
            load.recordDelay(excess, now)
            val computing = elapsed - (chosen.fetch?.duration ?: Duration.ZERO)
            estimates.firstToken.update(tokensAhead, computing)
            estimates.prefillSpeed?.update(tokensAhead, computing)
        }
        // Transfers wait for each other at both ends, and which of the two it was can't be told.
        prefilledAt?.let {
            load.recordTransferDelay(excess - USUAL_HANDOVER_EXCESS, now)
            it.recordTransferDelay(excess - USUAL_HANDOVER_EXCESS, now)
        }
    }

    /** The server sent its complete response, or the caller cancelled before that. */
    public fun succeeded(now: Moment) {
        if (!close()) return
        load.succeeded()
        if (estimates.foundFreeSlot) estimates.serviceTime.update(now - sentAt)
    }

    /** The caller cancelled, or the request timed out for reasons that are not the server's. */
    public fun abandoned() {
        close()
    }

    /** The next part has not come in time; the request goes on there. */
    public fun overdue(now: Moment) {
        if (!open) return
        if (awaitsFirstResponse) estimates.lateness.record(now - sentAt - chosen.expected, now)
        load.failed(now)
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

    private companion object {
        /** A handover between idle servers takes up to this much longer than expected, and is worth that. */
        val USUAL_HANDOVER_EXCESS = 100.milliseconds
    }
}
