package org.persimmonrelay.backend

import org.persimmonrelay.clock.Moment
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** Moving average of how much later than expected responses come, which decays while there are none. */
internal class DecayingDelay {
    private var millis = 0.0
    private var recordedAt = Moment.ZERO

    /** A response came [excess] later than expected; negative when it came earlier. */
    fun record(excess: Duration, now: Moment) {
        val latest = excess.toDouble(DurationUnit.MILLISECONDS).coerceIn(-MAX_MILLIS, MAX_MILLIS)
        millis = decayed(now) * (1 - GAIN) + latest * GAIN
        recordedAt = now
    }

    /** The average at [now]; never negative. */
    fun at(now: Moment): Duration = decayed(now).coerceAtLeast(0.0).milliseconds

    private fun decayed(now: Moment): Double {
        val age = (now - recordedAt).toDouble(DurationUnit.SECONDS)
        return millis * HALF.pow(age / HALF_LIFE_SECONDS)
    }

    private companion object {
        const val GAIN = 0.2
        const val HALF = 0.5
        const val HALF_LIFE_SECONDS = 1.5
        const val MAX_MILLIS = 3_000.0
    }
}
