package org.persimmonrelay.backend

import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Estimates how long an engine of a service takes to prefill one prompt token when it does nothing else. It follows a
 * low quantile of the measured times, because most of them contain some wait for requests that this node does not see.
 */
internal class PrefillSpeed {
    /** Prefill time of one prompt token, in milliseconds. */
    var perToken: Double = PRIOR_PER_TOKEN
        private set

    /** The first token came [elapsed] after a request with [tokens] to prefill was sent to an engine. */
    fun update(tokens: Int, elapsed: Duration) {
        if (tokens < MIN_TOKENS) return
        val sample = elapsed.toDouble(DurationUnit.MILLISECONDS) / tokens
        val step = if (sample < perToken) 1 - QUANTILE else -QUANTILE
        perToken = (perToken * (1 - step * GAIN)).coerceIn(PER_TOKEN_RANGE)
    }

    private companion object {
        const val PRIOR_PER_TOKEN = 0.022
        val PER_TOKEN_RANGE = 0.002..0.2
        const val QUANTILE = 0.25
        const val GAIN = 0.05

        /** With shorter prompts, the time of the network counts for more than the prefill. */
        const val MIN_TOKENS = 1_000
    }
}
