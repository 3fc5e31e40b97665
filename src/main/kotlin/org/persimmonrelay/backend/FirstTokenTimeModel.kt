package org.persimmonrelay.backend

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * Estimates the time to first token of a service's engines as a base time plus a time for each prompt token that the
 * engine has to prefill before that. Fitted by least squares with exponential forgetting.
 */
internal class FirstTokenTimeModel {
    private var weight = PRIOR_WEIGHT
    private var sumX = PRIOR_WEIGHT * PRIOR_TOKENS
    private var sumY = PRIOR_WEIGHT * (PRIOR_BASE + PRIOR_TOKENS * PRIOR_PER_TOKEN)
    private var sumXX = PRIOR_WEIGHT * PRIOR_TOKENS * PRIOR_TOKENS * PRIOR_SPREAD
    private var sumXY = sumY * PRIOR_TOKENS + PRIOR_PER_TOKEN * (sumXX - PRIOR_TOKENS * sumX)

    /** Prefill time of one prompt token, in milliseconds. */
    val perToken: Double
        get() = ((weight * sumXY - sumX * sumY) / (weight * sumXX - sumX * sumX)).coerceIn(PER_TOKEN_RANGE)

    private val base: Double
        get() = ((sumY - perToken * sumX) / weight).coerceIn(BASE_RANGE)

    /** Adds a measured time to first token; [pendingTokens] includes the tokens of the request itself. */
    fun update(pendingTokens: Int, elapsed: Duration) {
        val x = pendingTokens.toDouble()
        val y = elapsed.toDouble(DurationUnit.MILLISECONDS).coerceAtMost(MAX_MILLIS)
        weight = weight * DECAY + 1
        sumX = sumX * DECAY + x
        sumY = sumY * DECAY + y
        sumXX = sumXX * DECAY + x * x
        sumXY = sumXY * DECAY + x * y
    }

    fun expected(pendingTokens: Double): Duration = (base + perToken * pendingTokens).milliseconds

    private companion object {
        const val DECAY = 0.99
        const val PRIOR_WEIGHT = 10.0
        const val PRIOR_TOKENS = 5_000.0
        const val PRIOR_PER_TOKEN = 0.022
        const val PRIOR_BASE = 20.0
        const val PRIOR_SPREAD = 2.0
        const val MAX_MILLIS = 3_000.0
        val PER_TOKEN_RANGE = 0.002..0.2
        val BASE_RANGE = 1.0..300.0
    }
}
