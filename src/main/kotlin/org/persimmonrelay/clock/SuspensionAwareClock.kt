package org.persimmonrelay.clock

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A clock whose moments also count the time for which the host was suspended.
 *
 * The monotonic clock stands still meanwhile, the time of day does not. A jump of the time of day ahead of the
 * monotonic clock is therefore counted as time passed: a set clock then makes bounds end early, never late.
 * Thread-safe.
 */
public class SuspensionAwareClock(private val source: Clock) : Clock {
    private var lastMonotonic = source.now()
    private var lastWallMillis = source.wallMillis()
    private var suspended = Duration.ZERO

    @Synchronized
    override fun now(): Moment {
        val monotonic = source.now()
        val wallMillis = source.wallMillis()
        val passed = monotonic - lastMonotonic
        val byWall = (wallMillis - lastWallMillis).milliseconds
        if (byWall - passed > NOTICED) suspended += byWall - passed
        lastMonotonic = monotonic
        lastWallMillis = wallMillis
        return Moment(monotonic.nanos) + suspended
    }

    override fun wallMillis(): Long = source.wallMillis()

    private companion object {
        /** Shorter differences are the clocks' own. */
        val NOTICED = 150.milliseconds
    }
}
