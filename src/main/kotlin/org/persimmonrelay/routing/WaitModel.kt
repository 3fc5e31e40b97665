package org.persimmonrelay.routing

import kotlin.math.abs
import kotlin.math.sqrt

/** Two predictions of a wait in an engine, in seconds: from its last report, and from its usual reports. */
internal class WaitPrediction(val byReport: Double, val byMean: Double)

/**
 * Learns from first tokens how long starts really wait in engines, and how far load reports can be trusted.
 *
 * Reports that come too late predict worse than the engine's usual load does; they then lose their weight.
 * Not thread-safe.
 */
internal class WaitModel {
    private var reportError = INITIAL_ERROR
    private var meanError = INITIAL_ERROR
    private var meanWait = 0.0
    private var meanSquare = 0.0

    /** Weight of the last report against the usual one, 0 to 1. */
    var trust: Double = INITIAL_TRUST
        private set

    /** Seconds that nearly all starts wait in an engine before their prompt is read. */
    val usualMost: Double
        get() = meanWait + DEVIATIONS * sqrt(maxOf(0.0, meanSquare - meanWait * meanWait))

    fun observed(predicted: WaitPrediction, seconds: Double) {
        val wait = maxOf(0.0, seconds)
        reportError += (abs(predicted.byReport - wait) - reportError) * ERROR_GAIN
        meanError += (abs(predicted.byMean - wait) - meanError) * ERROR_GAIN
        val report = 1 / (reportError * reportError + LEAST_ERROR)
        val mean = 1 / (meanError * meanError + LEAST_ERROR)
        trust = report / (report + mean)
        meanWait += (wait - meanWait) * WAIT_GAIN
        meanSquare += (wait * wait - meanSquare) * WAIT_GAIN
    }

    private companion object {
        const val INITIAL_ERROR = 0.1
        const val INITIAL_TRUST = 0.5
        const val ERROR_GAIN = 0.03
        const val WAIT_GAIN = 0.05
        const val LEAST_ERROR = 1e-6
        const val DEVIATIONS = 1.5
    }
}
