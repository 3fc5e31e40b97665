/*
 * Load by time of day, with the drift of the daily curve. The curve of the last day is compared with that of the
 * day before at several shifts; the best one, smoothed over days, is how much later the peak comes each day.
 * The forecast is yesterday's curve moved by the drift, scaled by how today compares so far.
 */
package org.persimmonrelay.fleet.plan

import kotlin.math.abs
import kotlin.math.ceil

/** Forecast of a load, fed with one value every [BIN_SECONDS] seconds of wall-clock time. Not thread-safe. */
public class PeakForecast {
    private val loads = ArrayList<Double>()
    private var driftBins = 0.0
    private var driftDays = 0

    /** Bins that the daily curve moves later each day, as estimated. */
    public val driftSeconds: Double
        get() = driftBins * BIN_SECONDS

    /** Takes the mean [load] of the bin that just ended. */
    public fun observe(load: Double) {
        loads += load
        if (loads.size >= 2 * DAY && loads.size % DAY == 0) learnDrift()
        if (loads.size > MAX_BINS) loads.subList(0, DAY).clear()
    }

    /** The highest load expected within [seconds] from now. */
    public fun highest(seconds: Double): Double {
        if (loads.isEmpty()) return 0.0
        val bins = ceil(seconds / BIN_SECONDS).toInt()
        val now = recent()
        if (loads.size < DAY + RECENT_BINS) return now + maxOf(0.0, trend()) * bins
        val level = level()
        return maxOf(now, (0..bins).maxOf { usual(loads.size + it) } * level)
    }

    private fun recent(): Double = loads.takeLast(RECENT_BINS).average()

    /** Growth per bin lately. */
    private fun trend(): Double {
        if (loads.size < 2 * RECENT_BINS) return 0.0
        val before = loads.subList(loads.size - 2 * RECENT_BINS, loads.size - RECENT_BINS).average()
        return (recent() - before) / RECENT_BINS
    }

    /** How today's last hours compare with what was usual for them. */
    private fun level(): Double {
        val first = maxOf(DAY, loads.size - LEVEL_BINS)
        val usual = (first until loads.size).sumOf(::usual)
        val seen = (first until loads.size).sumOf { loads[it] }
        return if (usual > 0) (seen / usual).coerceIn(LEAST_LEVEL, MOST_LEVEL) else 1.0
    }

    /** Yesterday's load at the time that corresponds to [bin]. */
    private fun usual(bin: Int): Double {
        val at = bin - DAY - driftBins
        val low = at.toInt().coerceIn(0, loads.size - 1)
        val high = (low + 1).coerceAtMost(loads.size - 1)
        val part = (at - low).coerceIn(0.0, 1.0)
        return loads[low] * (1 - part) + loads[high] * part
    }

    private fun learnDrift() {
        val today = loads.size - DAY
        val shift = (-MAX_SHIFT..MAX_SHIFT).minByOrNull { difference(today, it) } ?: return
        driftDays++
        val gain = maxOf(LEAST_GAIN, 1.0 / driftDays)
        driftBins += (shift - driftBins) * gain
    }

    private fun difference(today: Int, shift: Int): Double {
        val bins = (MAX_SHIFT until DAY - MAX_SHIFT)
        return bins.sumOf { abs(loads[today + it] - loads[today + it - DAY - shift]) }
    }

    public companion object {
        /** Length of a bin. */
        public const val BIN_SECONDS: Double = 300.0
        private const val DAY = 288
        private const val MAX_BINS = 4 * DAY
        private const val RECENT_BINS = 2
        private const val LEVEL_BINS = 24
        private const val MAX_SHIFT = 12
        private const val LEAST_GAIN = 0.3
        private const val LEAST_LEVEL = 0.5
        private const val MOST_LEVEL = 2.0
    }
}
