package org.persimmonrelay.experiment

import kotlin.random.Random

/** Adds requests of one workspace to a trace; what was there stays as it is. */
internal class FloodMaker(seed: Long) {
    private val random = Random(seed)

    /** [trace] with [factor] times the requests of [workspace]; through [region] alone, if it is given. */
    fun flood(trace: Trace, workspace: Int, factor: Int, region: Int? = null): Trace {
        val own = trace.requests.filter { it.workspace == workspace }
        val added = (1 until factor).flatMap { own.map { request -> copy(request, trace.seconds, region) } }
        val all = (trace.requests + added).sortedBy { it.at }
        val numbered = all.mapIndexed { index, request -> renumber(request, index) }
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
            reusable = 0,
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
        reusable = request.reusable,
    )
}
