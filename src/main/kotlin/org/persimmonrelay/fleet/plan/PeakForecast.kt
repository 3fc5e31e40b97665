/*
 * Forecasts load by time of day, with the drift of the daily curve. The curve of the last day is compared with that of
 * the day before at several time shifts; the best shift, smoothed over days, is how much later the peak comes each day.
 * The forecast is yesterday's curve, moved by the drift and scaled by the ratio of today's load to yesterday's.
 */
package org.persimmonrelay.fleet.plan

import kotlin.math.abs
import kotlin.math.ceil

/** Forecast of a load from one value per [BIN_SECONDS] seconds of wall-clock time. Not thread-safe. */
public class PeakForecast {
    private val loads = ArrayList<Double>()
    private var driftBins = 0.0
    private var driftDays = 0

    /** Estimated time in seconds by which the daily curve comes later each day. */
    public val driftSeconds: Double
        get() = driftBins * BIN_SECONDS

    /** Records the mean [load] of the bin that has just ended. */
    public fun observe(load: Double) {
        loads += load
        if (loads.size >= 2 * DAY && loads.size % DAY == 0) updateDrift()
        if (loads.size > MAX_BINS) loads.subList(0, DAY).clear()
    }

    /** The highest load expected within the next [seconds]; 0 before the first value. */
    public fun peakWithin(seconds: Double): Double {
        if (loads.isEmpty()) return 0.0
        val bins = ceil(seconds / BIN_SECONDS).toInt()
        val current = recentAverage()
        if (loads.size < DAY + RECENT_BINS) return current + maxOf(0.0, trend()) * bins
        val levelRatio = levelRatio()
        return maxOf(current, (0..bins).maxOf { yesterdaysLoad(loads.size + it) } * levelRatio)
    }

    private fun recentAverage(): Double = loads.takeLast(RECENT_BINS).average()

    /** Recent growth per bin. */
    private fun trend(): Double {
        if (loads.size < 2 * RECENT_BINS) return 0.0
        val before = loads.subList(loads.size - 2 * RECENT_BINS, loads.size - RECENT_BINS).average()
        return (recentAverage() - before) / RECENT_BINS
    }

    /** Ratio of today's load in the last hours to yesterday's load at the corresponding times, within limits. */
    private fun levelRatio(): Double {
        val first = maxOf(DAY, loads.size - LEVEL_BINS)
        val yesterday = (first until loads.size).sumOf(::yesterdaysLoad)
        val today = (first until loads.size).sumOf { loads[it] }
        return if (yesterday > 0) (today / yesterday).coerceIn(MIN_LEVEL, MAX_LEVEL) else 1.0
    }

    /** Yesterday's load at the time that corresponds to [bin]. */
    private fun yesterdaysLoad(bin: Int): Double {
        val at = bin - DAY - driftBins
        val low = at.toInt().coerceIn(0, loads.size - 1)
        val high = (low + 1).coerceAtMost(loads.size - 1)
        val fraction = (at - low).coerceIn(0.0, 1.0)
        return loads[low] * (1 - fraction) + loads[high] * fraction
    }

    private fun updateDrift() {
        val today = loads.size - DAY
        val shift = (-MAX_SHIFT..MAX_SHIFT).minByOrNull { difference(today, it) } ?: return
        driftDays++
        val gain = maxOf(MIN_GAIN, 1.0 / driftDays)
        driftBins += (shift - driftBins) * gain
    }

    private fun difference(today: Int, shift: Int): Double {
        val bins = (MAX_SHIFT until DAY - MAX_SHIFT)
        return bins.sumOf { abs(loads[today + it] - loads[today + it - DAY - shift]) }
    }

    public companion object {
        /** Length of a bin in seconds. */
        public const val BIN_SECONDS: Double = 300.0
        private const val DAY = 288
        private const val MAX_BINS = 4 * DAY
        private const val RECENT_BINS = 2
        private const val LEVEL_BINS = 24
        private const val MAX_SHIFT = 12
        private const val MIN_GAIN = 0.3
        private const val MIN_LEVEL = 0.5
        private const val MAX_LEVEL = 2.0
    }
}
