package org.persimmonrelay.backend

import org.persimmonrelay.clock.Moment
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** What this node knows of the load and the soundness of one server instance. Confined to the traffic thread. */
internal class ServerLoad(kvTokens: Long) {
    val memory = PromptMemory((kvTokens * OWN_SHARE_OF_MEMORY).toLong())

    /** Requests that this node has sent there and that have not ended. */
    var running = 0
        private set

    /** Prompt tokens of requests sent there that have brought no first token yet. */
    var tokensAhead = 0
        private set

    private var surplusMillis = 0.0
    private var surplusAt = Moment.ZERO
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

    /** The first token took [beyond] longer than expected, or less long where it is negative. */
    fun surprised(beyond: Duration, now: Moment) {
        val fresh = beyond.toDouble(DurationUnit.MILLISECONDS).coerceIn(-MOST_SURPLUS_MILLIS, MOST_SURPLUS_MILLIS)
        surplusMillis = surplus(now) * (1 - LEARN) + fresh * LEARN
        surplusAt = now
    }

    /** How much longer than expected answers take here, fading with time. */
    fun delay(now: Moment): Duration = surplus(now).coerceAtLeast(0.0).milliseconds

    fun succeeded() {
        failureShare *= 1 - LEARN
        failuresInRow = 0
        avoidedUntil = Moment.ZERO
    }

    fun failed(now: Moment) {
        failureShare = failureShare * (1 - LEARN) + LEARN
        failuresInRow++
        if (failuresInRow >= FAILURES_TO_AVOID) avoid(now)
    }

    /** No connection could be made. */
    fun unreachable(now: Moment) {
        failuresInRow++
        avoid(now)
    }

    /** The server turned the request away since it is full. */
    fun rejected(now: Moment) {
        surprised(TURNED_AWAY, now)
    }

    fun isAvoided(now: Moment): Boolean = now < avoidedUntil

    /** Added to the expected time of a server that fails part of its requests. */
    val risk: Duration
        get() = (failureShare * RISK_MILLIS).milliseconds

    private fun avoid(now: Moment) {
        avoidedUntil =
            now + minOf(LONGEST_AVOIDANCE, FIRST_AVOIDANCE * 2.0.pow(failuresInRow.coerceAtMost(MOST_DOUBLINGS)))
    }

    private fun surplus(now: Moment): Double {
        val age = (now - surplusAt).toDouble(DurationUnit.SECONDS)
        return surplusMillis * 0.5.pow(age / HALF_LIFE_SECONDS)
    }

    private companion object {
        /** Other nodes' prompts fill the rest of an engine's memory. */
        const val OWN_SHARE_OF_MEMORY = 0.4
        const val LEARN = 0.2
        const val HALF_LIFE_SECONDS = 1.5
        const val MOST_SURPLUS_MILLIS = 3_000.0
        const val RISK_MILLIS = 600.0
        const val FAILURES_TO_AVOID = 3
        const val MOST_DOUBLINGS = 4
        val FIRST_AVOIDANCE = 150.milliseconds
        val LONGEST_AVOIDANCE = 2.seconds
        val TURNED_AWAY = 1.seconds
    }
}
