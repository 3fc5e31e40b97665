package org.persimmonrelay.platform

import org.persimmonrelay.clock.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** A rate limit of [perSecond] units with bursts of up to [burst] units. Not thread-safe. */
internal class TokenBucket(private val perSecond: Double, private val burst: Double) {
    private var tokens = burst
    private var refilledAt: Moment? = null

    /**
     * Reserves [amount] units and returns how long the caller must wait before using them. Returns null, and reserves
     * nothing, when the wait would exceed [maxWait].
     */
    fun reserve(amount: Int, maxWait: Duration, now: Moment): Duration? {
        refill(now)
        val missing = amount - tokens
        val wait = if (missing <= 0) ZERO else (missing / perSecond).seconds
        if (wait > maxWait) return null
        tokens -= amount
        return wait
    }

    private fun refill(now: Moment) {
        val elapsed = refilledAt?.let { now - it } ?: ZERO
        tokens = minOf(burst, tokens + elapsed.toDouble(DurationUnit.SECONDS) * perSecond)
        refilledAt = now
    }
}
