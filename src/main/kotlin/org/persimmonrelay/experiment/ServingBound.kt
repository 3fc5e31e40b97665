/*
 * An upper bound on the goodput of any policy, even one that knows future requests; docs/POLICY-BOUND.md has the
 * proof. Each response needs a minimum of engine time, and good responses to the requests of a window must be
 * generated within the window plus the time that their latency bounds allow. Counting the cheapest responses first
 * gives the maximum number that fits.
 */
package org.persimmonrelay.experiment

import org.persimmonrelay.engine.EngineProfile

internal class ServingBound(private val profile: EngineProfile) {
    /** Maximum number of good responses to the requests of [trace] with at most [engines] engines at any time. */
    fun maxGoodResponses(trace: Trace, engines: Int): Int {
        val sharedPrefix = sharedPrefixTokens(trace)
        val windows = trace.requests.groupBy { (it.at / WINDOW_SECONDS).toInt() }.values
        val windowBound =
            windows.sumOf { requests ->
                val seconds = WINDOW_SECONDS + maxServiceSeconds(requests, trace.deployment)
                maxRequestsWithin(
                    requests.map { minEngineSeconds(it, sharedPrefix.getValue(it.number)) },
                    engines * seconds,
                )
            }
        val seconds = trace.seconds + maxServiceSeconds(trace.requests, trace.deployment)
        val traceBound = maxRequestsWithin(
            trace.requests.map { minEngineSeconds(it, it.reusableTokens) },
            engines * seconds,
        )
        return minOf(windowBound, traceBound)
    }

    /** Maximum seconds from the arrival of any of [requests] to the end of a good response. */
    private fun maxServiceSeconds(requests: List<TraceRequest>, deployment: DeploymentSpec): Double = MAX_STEP_SECONDS +
        requests.maxOf { deployment.maxFirstTokenSeconds + it.outputTokens * deployment.maxInterTokenSeconds }

    /** Minimum engine seconds for one response when [cached] tokens of its prompt need no prefill. */
    private fun minEngineSeconds(request: TraceRequest, cached: Int): Double {
        val prefilled = request.promptTokens - cached
        val decoded = request.outputTokens - 1
        val steps = (decoded.toDouble() / profile.maxRunning + prefilled.toDouble() / profile.prefillChunkTokens) / 2
        val millis =
            steps * profile.stepMillis + decoded * profile.sequenceMillis + prefilled * profile.promptTokenMillis
        return millis / MILLIS
    }

    private fun maxRequestsWithin(costs: List<Double>, seconds: Double): Int {
        var remaining = seconds
        return costs.sorted().takeWhile { cost ->
            remaining -= cost
            remaining >= 0
        }.size
    }

    /** For each request number, the prompt tokens in blocks that another request of the trace has too. */
    private fun sharedPrefixTokens(trace: Trace): Map<Int, Int> {
        val counts = HashMap<Long, Int>()
        trace.requests.forEach { request -> request.prefixBlocks.forEach { counts.merge(it, 1, Int::plus) } }
        return trace.requests.associate { request ->
            val blocks = request.prefixBlocks.count { counts.getValue(it) > 1 }
            request.number to minOf(blocks * profile.blockTokens, request.promptTokens - 1)
        }
    }

    private companion object {
        const val WINDOW_SECONDS = 60.0

        /** Upper limit of a step's duration, since the last step may end after the window. */
        const val MAX_STEP_SECONDS = 0.3
        const val MILLIS = 1_000.0
    }
}
