package org.persimmonrelay.measure

import org.persimmonrelay.clock.Clock

/** Measures the median duration of repeated work. */
internal class Stopwatch(private val clock: Clock) {
    /** Median duration of [rounds] runs of [work], in microseconds. */
    fun medianMicros(rounds: Int, work: () -> Unit): Double {
        val nanos = List(rounds) {
            val began = clock.now()
            work()
            (clock.now() - began).inWholeNanoseconds
        }
        return nanos.sorted()[rounds / 2] / NANOS_PER_MICRO
    }

    private companion object {
        const val NANOS_PER_MICRO = 1_000.0
    }
}
