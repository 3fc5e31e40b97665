package org.persimmonrelay.backend

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * Learns how long a service's engines take to the first token: a base time and a time for each prompt token that
 * has to be read before, by least squares with forgetting.
 */
internal class FirstAnswerModel {
    private var weight = PRIOR_WEIGHT
    private var sumX = PRIOR_WEIGHT * PRIOR_TOKENS
    private var sumY = PRIOR_WEIGHT * (PRIOR_BASE + PRIOR_TOKENS * PRIOR_PER_TOKEN)
    private var sumXX = PRIOR_WEIGHT * PRIOR_TOKENS * PRIOR_TOKENS * PRIOR_SPREAD
    private var sumXY = sumY * PRIOR_TOKENS + PRIOR_PER_TOKEN * (sumXX - PRIOR_TOKENS * sumX)

    /** Time for each prompt token, in milliseconds. */
    val perToken: Double
        get() = ((weight * sumXY - sumX * sumY) / (weight * sumXX - sumX * sumX)).coerceIn(PER_TOKEN_RANGE)

    private val base: Double
        get() = ((sumY - perToken * sumX) / weight).coerceIn(BASE_RANGE)

    fun learn(tokensAhead: Int, took: Duration) {
        val x = tokensAhead.toDouble()
        val y = took.toDouble(DurationUnit.MILLISECONDS).coerceAtMost(LONGEST)
        weight = weight * KEEP + 1
        sumX = sumX * KEEP + x
        sumY = sumY * KEEP + y
        sumXX = sumXX * KEEP + x * x
        sumXY = sumXY * KEEP + x * y
    }

    fun expected(tokensAhead: Double): Duration = (base + perToken * tokensAhead).milliseconds

    private companion object {
        const val KEEP = 0.99
        const val PRIOR_WEIGHT = 10.0
        const val PRIOR_TOKENS = 5_000.0
        const val PRIOR_PER_TOKEN = 0.022
        const val PRIOR_BASE = 20.0
        const val PRIOR_SPREAD = 2.0
        const val LONGEST = 3_000.0
        val PER_TOKEN_RANGE = 0.002..0.2
        val BASE_RANGE = 1.0..300.0
    }
}
