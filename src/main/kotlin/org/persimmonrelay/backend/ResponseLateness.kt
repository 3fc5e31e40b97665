package org.persimmonrelay.backend

import org.persimmonrelay.clock.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.seconds

/**
 * How much later than expected the first parts of a service's responses come at present. It takes the median, so that
 * it tells an overload, in which most responses are late, from a few servers that do not respond.
 */
internal class ResponseLateness {
    private val samples = ArrayDeque<Sample>()

    private class Sample(val excess: Duration, val at: Moment)

    /** A first part came [excess] later than expected, or has not come after that time. */
    fun record(excess: Duration, now: Moment) {
        samples.addLast(Sample(excess, now))
        if (samples.size > MAX_SAMPLES) samples.removeFirst()
    }

    /** The usual lateness at [now]; zero while too little is known. */
    fun usual(now: Moment): Duration {
        while (samples.isNotEmpty() && now - samples.first().at > WINDOW) samples.removeFirst()
        if (samples.size < MIN_SAMPLES) return ZERO
        return samples.map { it.excess }.sorted()[samples.size / 2].coerceAtLeast(ZERO)
    }

    private companion object {
        val WINDOW = 5.seconds
        const val MAX_SAMPLES = 64
        const val MIN_SAMPLES = 8
    }
}
