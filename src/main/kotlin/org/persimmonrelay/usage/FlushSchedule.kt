package org.persimmonrelay.usage

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** When a node stores its usage counts. */
public fun interface FlushSchedule {
    /** Time from [wallMillis], in Unix time, to the next flush. */
    public fun timeToNextFlush(wallMillis: Long): Duration

    public companion object {
        /** A flush every [interval]. */
        public fun every(interval: Duration): FlushSchedule = FlushSchedule { interval }
    }
}

/**
 * Flushes several times in each [window], the last time right after its end, so that the window can be closed soon. The
 * more [nodes] there are, the less a window loses by the death of one, and the fewer flushes there are: from
 * [MAX_FLUSHES] a window for few nodes down to one. Flushes are spread over [SPREAD_SHARE] of the time between two.
 */
public class WindowFlushSchedule(
    private val window: Duration,
    private val nodes: () -> Int,
    private val random: Random,
) : FlushSchedule {
    override fun timeToNextFlush(wallMillis: Long): Duration {
        val interval = window.inWholeMilliseconds / flushesPerWindow()
        val toBoundary = interval - Math.floorMod(wallMillis, interval)
        return (toBoundary + interval * SPREAD_SHARE * random.nextDouble()).milliseconds
    }

    private fun flushesPerWindow(): Int = (NODES_FOR_ONE_FLUSH / nodes().coerceAtLeast(1)).coerceIn(1, MAX_FLUSHES)

    private companion object {
        const val MAX_FLUSHES = 4

        /** From this number of nodes on, one node's counts of a window are within the tolerance of reports. */
        const val NODES_FOR_ONE_FLUSH = 28
        const val SPREAD_SHARE = 0.15
    }
}
