package org.persimmonrelay.measure

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * How much [PathBench] does. [warmUp] requests go each way before the first figure, so that it is of compiled code;
 * [idleLevels] are cut to what the process may have open.
 */
public data class PathBenchSettings(
    val warmUp: Int = 30_000,
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
