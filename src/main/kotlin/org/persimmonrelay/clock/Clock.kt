package org.persimmonrelay.clock

/**
 * Source of the current time.
 *
 * Decision logic takes a [Moment] as an argument; only wiring code and loops read a clock.
 */
public interface Clock {
    /** Current reading of the monotonic clock. */
    public fun now(): Moment

    /** Wall-clock time in Unix milliseconds, for display, billing windows and what nodes tell each other. */
    public fun wallMillis(): Long
}
