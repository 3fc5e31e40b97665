package org.persimmonrelay.backend

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Moving average of the time that a request occupies a slot of a server. */
internal class ServiceTimeEstimate {
    var mean: Duration = PRIOR
        private set

    /** A request that found a free slot ended after [elapsed]. */
    fun update(elapsed: Duration) {
        mean += (elapsed.coerceAtMost(LONGEST) - mean) * GAIN
    }

    private companion object {
        val PRIOR = 80.milliseconds

        /** Requests that a fault held up say nothing about the time of others. */
        val LONGEST = 3_000.milliseconds
        const val GAIN = 0.05
    }
}
