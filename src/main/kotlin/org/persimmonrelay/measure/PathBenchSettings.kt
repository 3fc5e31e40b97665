package org.persimmonrelay.measure

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** How much [PathBench] does. [idleLevels] are cut to what the process may have open. */
public data class PathBenchSettings(
    val warmUp: Int = 1_500,
    val samples: Int = 3_000,
    val streams: Int = 32,
    val tokensPerStream: Int = 4_000,
    val rounds: Int = 5,
    val idleLevels: List<Int> = IDLE_LEVELS,
    val hold: Duration = 5.seconds,
) {
    private companion object {
        val IDLE_LEVELS = listOf(1_000, 5_000, 10_000)
    }
}
