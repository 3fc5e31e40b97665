package org.persimmonrelay.clock

/**
 * Source of the present time.
 *
 * Functions that decide take a [Moment] as an argument; only wiring and loops read a clock.
 */
public interface Clock {
    /** The monotonic reading. */
    public fun now(): Moment

    /** Wall-clock time in milliseconds since the Unix epoch, for display and for billing windows only. */
    public fun wallMillis(): Long
}
