package org.persimmonrelay.clock

import kotlin.time.Duration

/** A clock that moves only on [advance], for experiments and tests in virtual time. Not thread-safe. */
public class ManualClock(private var moment: Moment = Moment.ZERO, private val wallOffsetMillis: Long = 0) : Clock {
    override fun now(): Moment = moment

    override fun wallMillis(): Long = wallOffsetMillis + moment.nanos / NANOS_PER_MILLI

    /** Moves the clock forward by [duration]. */
    public fun advance(duration: Duration) {
        moment += duration
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
