package org.persimmonrelay.clock

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * A reading of one process's monotonic clock, in nanoseconds since an arbitrary origin.
 *
 * Moments of different processes must never be compared; only durations cross process boundaries.
 */
@JvmInline
public value class Moment(public val nanos: Long) : Comparable<Moment> {
    public operator fun plus(duration: Duration): Moment = Moment(nanos + duration.inWholeNanoseconds)

    public operator fun minus(duration: Duration): Moment = Moment(nanos - duration.inWholeNanoseconds)

    public operator fun minus(other: Moment): Duration = (nanos - other.nanos).nanoseconds

    override fun compareTo(other: Moment): Int = nanos.compareTo(other.nanos)

    public companion object {
        /** The origin; tests in virtual time start here. */
        public val ZERO: Moment = Moment(0)
    }
}
