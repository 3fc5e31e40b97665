package org.persimmonrelay.experiment

import kotlin.random.Random

/** Adds requests of one workspace to a trace; the existing requests change only in their number. */
internal class FloodGenerator(seed: Long) {
    private val random = Random(seed)

    /** [trace] with [factor] times the requests of [workspace]; the added ones arrive in [region] if it is given. */
    fun flood(trace: Trace, workspace: Int, factor: Int, region: Int? = null): Trace {
        val workspaceRequests = trace.requests.filter { it.workspace == workspace }
        val floodRequests = (1 until factor).flatMap {
            workspaceRequests.map { request -> copy(request, trace.seconds, region) }
        }
        val allRequests = (trace.requests + floodRequests).sortedBy { it.at }
        val numbered = allRequests.mapIndexed { index, request -> renumber(request, index) }
        return Trace(trace.deployment, trace.seconds, trace.workspaces, numbered)
    }

    private fun copy(request: TraceRequest, seconds: Double, region: Int?): TraceRequest {
        val at = (request.at + random.nextDouble() * seconds) % seconds
        val blocks = LongArray(request.prefixBlocks.size) { random.nextLong() }
        return TraceRequest(
            number = 0,
            at = at,
            region = region ?: request.region,
            workspace = request.workspace,
            promptTokens = request.promptTokens,
            outputTokens = request.outputTokens,
            maxOutputTokens = request.maxOutputTokens,
            prefixBlocks = blocks,
            reusableTokens = 0,
        )
    }

    private fun renumber(request: TraceRequest, number: Int) = TraceRequest(
        number = number,
        at = request.at,
        region = request.region,
        workspace = request.workspace,
        promptTokens = request.promptTokens,
        outputTokens = request.outputTokens,
        maxOutputTokens = request.maxOutputTokens,
        prefixBlocks = request.prefixBlocks,
        reusableTokens = request.reusableTokens,
    )
}
