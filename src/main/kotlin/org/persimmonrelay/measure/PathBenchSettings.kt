package org.persimmonrelay.measure

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Amount of work that [PathBench] does.
 *
 * @property warmUp requests sent to the engine and to the node before the first sample, so that samples are taken from
 *   code that the JIT has compiled.
 * @property idleLevels numbers of idle streams; reduced to the number that the free file descriptors permit.
 * @property hold time for which idle streams stay open before the heap is measured again.
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
