package org.persimmonrelay.clock

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A monotonic clock that includes the time for which the host was suspended.
 *
 * The host's monotonic clock stops while it is suspended; the wall clock does not. If the wall clock advances further
 * than the monotonic clock, the difference is therefore counted as elapsed time. A system time that is set forward
 * makes timeouts expire early, never late. Thread-safe.
 */
public class SuspensionAwareClock(private val source: Clock) : Clock {
    private var lastMonotonic = source.now()
    private var lastWallMillis = source.wallMillis()
    private var suspended = Duration.ZERO

    @Synchronized
    override fun now(): Moment {
        val monotonic = source.now()
        val wallMillis = source.wallMillis()
        val elapsed = monotonic - lastMonotonic
        val wallElapsed = (wallMillis - lastWallMillis).milliseconds
        if (wallElapsed - elapsed > MIN_SUSPENSION) suspended += wallElapsed - elapsed
        lastMonotonic = monotonic
        lastWallMillis = wallMillis
        return Moment(monotonic.nanos) + suspended
    }

    override fun wallMillis(): Long = source.wallMillis()

    private companion object {
        /** Smaller differences are normal deviations between the two clocks. */
        val MIN_SUSPENSION = 150.milliseconds
    }
}
