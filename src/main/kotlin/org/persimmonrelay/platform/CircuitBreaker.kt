package org.persimmonrelay.platform

import org.persimmonrelay.clock.Moment
import kotlin.random.Random
import kotlin.time.Duration

/** State of a [CircuitBreaker], which decides whether calls may be sent. */
internal sealed interface BreakerState {
    /** All calls are sent. [failures] is the number of consecutive failures so far. */
    data class Closed(val failures: Int) : BreakerState

    /** Calls are refused until [until]; the next call after that is the probe. */
    data class Open(val until: Moment, val backoff: Duration) : BreakerState

    /** A probe was sent at [since]; other calls are refused. */
    data class Probing(val since: Moment, val backoff: Duration) : BreakerState
}

/**
 * Refuses calls to a store that does not respond.
 *
 * Opens after [threshold] consecutive failures. When the backoff has passed, a single call probes the store; all
 * others are refused until the probe succeeds. The backoff doubles from [firstBackoff] to [maxBackoff]. The actual
 * wait is a random value from the upper half of the backoff, so that many nodes do not retry at the same time. If
 * a probe has not ended after [maxBackoff], the next call becomes a new probe. Not thread-safe.
 */
internal class CircuitBreaker(
    private val threshold: Int,
    private val firstBackoff: Duration,
    private val maxBackoff: Duration,
    private val random: Random,
) {
    var state: BreakerState = BreakerState.Closed(0)
        private set

    /** True when a call may be sent at [now]. The caller then reports the result of the call. */
    fun admit(now: Moment): Boolean = when (val current = state) {
        is BreakerState.Closed -> true
        is BreakerState.Open -> now >= current.until && startProbe(now, current.backoff)
        is BreakerState.Probing -> now >= current.since + maxBackoff && startProbe(now, current.backoff)
    }

    /** Closes the circuit after a successful call. */
    fun recordSuccess() {
        state = BreakerState.Closed(0)
    }

    /** Counts a failed call, which may open the circuit. */
    fun recordFailure(now: Moment) {
        state = when (val current = state) {
            is BreakerState.Closed -> afterFailure(current.failures + 1, now)
            is BreakerState.Open -> current
            is BreakerState.Probing -> open(minOf(current.backoff * 2, maxBackoff), now)
        }
    }

    /** Time after which a refused caller should try again; zero when calls are admitted. */
    fun retryAfter(now: Moment): Duration = when (val current = state) {
        is BreakerState.Closed -> Duration.ZERO
        is BreakerState.Open -> maxOf(Duration.ZERO, current.until - now)
        is BreakerState.Probing -> firstBackoff
    }

    private fun startProbe(now: Moment, backoff: Duration): Boolean {
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
