/*
 * An upper bound on the goodput of any policy, the clairvoyant one included; docs/POLICY-BOUND.md has the proof.
 * Each answer needs at least a certain time of an engine, and the answers to requests that arrive within a
 * window have to be made within the window and the time that their bounds leave. Taking the cheapest answers
 * first then gives the most answers that could fit.
 */
package org.persimmonrelay.experiment

import org.persimmonrelay.engine.EngineProfile

internal class ServingBound(private val profile: EngineProfile) {
    /** Most answers within bounds to the requests of [trace]; [engines] is the most that exist at any time. */
    fun goodAnswers(trace: Trace, engines: Int): Int {
        val shared = sharedTokens(trace)
        val windows = trace.requests.groupBy { (it.at / WINDOW_SECONDS).toInt() }.values
        val byWindow =
            windows.sumOf { requests ->
                val seconds = WINDOW_SECONDS + span(requests, trace.deployment)
                mostWithin(requests.map { work(it, shared.getValue(it.number)) }, engines * seconds)
            }
        val seconds = trace.seconds + span(trace.requests, trace.deployment)
        val overall = mostWithin(trace.requests.map { work(it, it.reusable) }, engines * seconds)
        return minOf(byWindow, overall)
    }

    /** The longest time after its arrival in which a good answer can be made. */
    private fun span(requests: List<TraceRequest>, deployment: DeploymentSpec): Double = STEP_SECONDS +
        requests.maxOf { deployment.firstTokenSeconds + it.outputTokens * deployment.betweenTokensSeconds }

    /** Least engine seconds for one answer when [cached] tokens of its prompt need not be read. */
    private fun work(request: TraceRequest, cached: Int): Double {
        val read = request.promptTokens - cached
        val written = request.outputTokens - 1
        val steps = (written.toDouble() / profile.maxRunning + read.toDouble() / profile.prefillChunkTokens) / 2
        val millis = steps * profile.stepMillis + written * profile.sequenceMillis + read * profile.promptTokenMillis
        return millis / MILLIS
    }

    private fun mostWithin(work: List<Double>, seconds: Double): Int {
        var left = seconds
        return work.sorted().takeWhile { cost ->
            left -= cost
            left >= 0
        }.size
    }

    /** Leading prompt tokens of each request that any other request of the trace has too. */
    private fun sharedTokens(trace: Trace): Map<Int, Int> {
        val counts = HashMap<Long, Int>()
        trace.requests.forEach { request -> request.prefixBlocks.forEach { counts.merge(it, 1, Int::plus) } }
        return trace.requests.associate { request ->
            val blocks = request.prefixBlocks.count { counts.getValue(it) > 1 }
            request.number to minOf(blocks * profile.blockTokens, request.promptTokens - 1)
        }
    }

    private companion object {
        const val WINDOW_SECONDS = 60.0

        /** Longer than any step, which may end after the window's end. */
        const val STEP_SECONDS = 0.3
        const val MILLIS = 1_000.0
    }
}
