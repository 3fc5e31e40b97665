package org.persimmonrelay.backend

import org.persimmonrelay.clock.Moment
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Load and health of one server instance, from this node's requests to it. Confined to the traffic thread. */
internal class ServerLoad(kvTokens: Long) {
    val cache = PromptCacheEstimate((kvTokens * OWN_SHARE_OF_CACHE).toLong())

    /** Requests that this node has sent there and that have not ended. */
    var running = 0
        private set

    /** Prompt tokens to prefill of requests that have no first token yet. */
    var tokensAhead = 0
        private set

    private val delays = DecayingDelay()
    private val transferDelays = DecayingDelay()
    private var failureShare = 0.0
    private var failuresInRow = 0
    private var avoidedUntil = Moment.ZERO

    fun started(tokens: Int) {
        running++
        tokensAhead += tokens
    }

    fun firstResponse(tokens: Int) {
        tokensAhead -= tokens
    }

    fun ended() {
        running--
    }

    /** The first token took [excess] longer than expected; negative when it came earlier. */
    fun recordDelay(excess: Duration, now: Moment) = delays.record(excess, now)

    /** How much longer than expected responses of this server take; decays with time. */
    fun delay(now: Moment): Duration = delays.at(now)

    /** The first token after a transfer of KV cache from or to this server came [excess] later than expected. */
    fun recordTransferDelay(excess: Duration, now: Moment) = transferDelays.record(excess, now)

    /** How much longer than expected transfers of KV cache from and to this server take; decays with time. */
    fun transferDelay(now: Moment): Duration = transferDelays.at(now)

    fun succeeded() {
        failureShare *= 1 - GAIN
        failuresInRow = 0
        avoidedUntil = Moment.ZERO
    }

    fun failed(now: Moment) {
        failureShare = failureShare * (1 - GAIN) + GAIN
        failuresInRow++
        if (failuresInRow >= FAILURES_TO_AVOID) avoid(now)
    }

    /** No connection could be opened. */
    fun unreachable(now: Moment) {
        failuresInRow++
        avoid(now)
    }

    /** The server rejected the request because it is full or draining. */
    fun rejected(now: Moment) {
        recordDelay(REJECTION_DELAY, now)
    }

    fun isAvoided(now: Moment): Boolean = now < avoidedUntil

    /** Added to the cost of a server that fails part of its requests. */
    val failurePenalty: Duration
        get() = (failureShare * FAILURE_PENALTY_MILLIS).milliseconds

    private fun avoid(now: Moment) {
        avoidedUntil =
            now + minOf(MAX_AVOIDANCE, BASE_AVOIDANCE * 2.0.pow(failuresInRow.coerceAtMost(MAX_DOUBLINGS)))
    }

    private companion object {
        /** Other nodes' prompts fill the rest of an engine's KV cache. */
        const val OWN_SHARE_OF_CACHE = 0.4
        const val GAIN = 0.2
        const val FAILURE_PENALTY_MILLIS = 600.0
        const val FAILURES_TO_AVOID = 3
        const val MAX_DOUBLINGS = 4
        val BASE_AVOIDANCE = 150.milliseconds
        val MAX_AVOIDANCE = 2.seconds
        val REJECTION_DELAY = 1.seconds
    }
}
