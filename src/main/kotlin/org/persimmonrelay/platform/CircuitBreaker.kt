package org.persimmonrelay.platform

import org.persimmonrelay.clock.Moment
import kotlin.random.Random
import kotlin.time.Duration

/** What a [CircuitBreaker] lets through. */
internal sealed interface BreakerState {
    /** Every call; [failures] came in a row. */
    data class Closed(val failures: Int) : BreakerState

    /** No call until [until]; then one probe. */
    data class Open(val until: Moment, val backoff: Duration) : BreakerState

    /** Only the probe that began at [since]. */
    data class Probing(val since: Moment, val backoff: Duration) : BreakerState
}

/**
 * Keeps calls away from a store that does not answer.
 *
 * After [threshold] failures in a row it opens. When the backoff has passed, one single call probes the store; the
 * others go on being refused until it answers. The backoff doubles from [firstBackoff] to [maxBackoff] and is
 * drawn at random from its upper half, so that many nodes do not return at one moment. A probe that has not
 * ended after [maxBackoff] is given up, and the next call probes. Not thread-safe.
 */
internal class CircuitBreaker(
    private val threshold: Int,
    private val firstBackoff: Duration,
    private val maxBackoff: Duration,
    private val random: Random,
) {
    var state: BreakerState = BreakerState.Closed(0)
        private set

    /** True when a call may be sent now; the caller then reports its end. */
    fun admit(now: Moment): Boolean = when (val current = state) {
        is BreakerState.Closed -> true
        is BreakerState.Open -> now >= current.until && probe(now, current.backoff)
        is BreakerState.Probing -> now >= current.since + maxBackoff && probe(now, current.backoff)
    }

    /** A call was answered. */
    fun succeeded() {
        state = BreakerState.Closed(0)
    }

    /** A call was not answered. */
    fun failed(now: Moment) {
        state = when (val current = state) {
            is BreakerState.Closed -> afterFailure(current.failures + 1, now)
            is BreakerState.Open -> current
            is BreakerState.Probing -> open(minOf(current.backoff * 2, maxBackoff), now)
        }
    }

    /** Time until the next probe; zero when calls are let through. */
    fun retryAfter(now: Moment): Duration = when (val current = state) {
        is BreakerState.Closed -> Duration.ZERO
        is BreakerState.Open -> maxOf(Duration.ZERO, current.until - now)
        is BreakerState.Probing -> firstBackoff
    }

    private fun probe(now: Moment, backoff: Duration): Boolean {
        state = BreakerState.Probing(now, backoff)
        return true
    }

    private fun afterFailure(failures: Int, now: Moment): BreakerState =
        if (failures < threshold) BreakerState.Closed(failures) else open(firstBackoff, now)

    private fun open(backoff: Duration, now: Moment): BreakerState {
        val half = backoff / 2
        return BreakerState.Open(now + half + half * random.nextDouble(), backoff)
    }
}
