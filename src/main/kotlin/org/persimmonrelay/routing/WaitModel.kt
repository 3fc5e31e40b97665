package org.persimmonrelay.routing

import kotlin.math.abs
import kotlin.math.sqrt

/** Predictions of a wait in an engine, in seconds: from its last load report, and from the mean of its reports. */
internal class WaitPrediction(val byReport: Double, val byMean: Double)

/**
 * Estimates from measured times to first token how long requests wait in engines, and how well load reports predict it.
 *
 * Reports that arrive too late predict worse than the engine's mean load does, and then get less weight.
 * Not thread-safe.
 */
internal class WaitModel {
    private var reportError = INITIAL_ERROR
    private var meanError = INITIAL_ERROR
    private var meanWait = 0.0
    private var meanSquare = 0.0

    /** Weight of the last report against the mean of reports, 0 to 1. */
    var reportWeight: Double = INITIAL_REPORT_WEIGHT
        private set

    /** Seconds within which nearly all requests start their prefill in an engine. */
    val usualMaxWait: Double
        get() = meanWait + DEVIATIONS * sqrt(maxOf(0.0, meanSquare - meanWait * meanWait))

    fun observed(predicted: WaitPrediction, seconds: Double) {
        val wait = maxOf(0.0, seconds)
        reportError += (abs(predicted.byReport - wait) - reportError) * ERROR_GAIN
        meanError += (abs(predicted.byMean - wait) - meanError) * ERROR_GAIN
        val report = 1 / (reportError * reportError + MIN_ERROR)
        val mean = 1 / (meanError * meanError + MIN_ERROR)
        reportWeight = report / (report + mean)
        meanWait += (wait - meanWait) * WAIT_GAIN
        meanSquare += (wait * wait - meanSquare) * WAIT_GAIN
    }

    private companion object {
        const val INITIAL_ERROR = 0.1
        const val INITIAL_REPORT_WEIGHT = 0.5
        const val ERROR_GAIN = 0.03
        const val WAIT_GAIN = 0.05
        const val MIN_ERROR = 1e-6
        const val DEVIATIONS = 1.5
    }
}
