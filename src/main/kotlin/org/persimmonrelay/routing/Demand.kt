package org.persimmonrelay.routing

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Demand on a deployment over some time, and results of earlier requests, as sums over requests.
 *
 * [promptTokens] and [outputLimit] are the prompt tokens and the output limits of the requests that arrived. Of
 * [prefilledTokens] prompt tokens, [cachedTokens] were found in caches; of [endedOutputLimit] allowed output tokens of
 * ended requests, [generatedTokens] were generated.
 */
@Serializable
public data class Demand(
    val promptTokens: Double = 0.0,
    val outputLimit: Double = 0.0,
    @SerialName("promptsRead")
    val prefilledTokens: Double = 0.0,
    val cachedTokens: Double = 0.0,
    @SerialName("limitEnded")
    val endedOutputLimit: Double = 0.0,
    @SerialName("writtenTokens")
    val generatedTokens: Double = 0.0,
) {
    public operator fun plus(other: Demand): Demand = Demand(
        promptTokens = promptTokens + other.promptTokens,
        outputLimit = outputLimit + other.outputLimit,
        prefilledTokens = prefilledTokens + other.prefilledTokens,
        cachedTokens = cachedTokens + other.cachedTokens,
        endedOutputLimit = endedOutputLimit + other.endedOutputLimit,
        generatedTokens = generatedTokens + other.generatedTokens,
    )

    public companion object {
        public val NONE: Demand = Demand()
    }
}

/** Counts demand on a node. Not thread-safe. */
internal class DemandCounter {
    private var promptTokens = 0.0
    private var outputLimit = 0.0
    private var prefilledTokens = 0.0
    private var cached = 0.0
    private var endedOutputLimit = 0.0
    private var generated = 0.0

    fun arrived(request: DispatchRequest) {
        promptTokens += request.promptTokens
        outputLimit += request.maxOutputTokens
    }

    fun prefilled(prompt: Int, cachedTokens: Int) {
        prefilledTokens += prompt
        cached += cachedTokens
    }

    fun ended(limit: Int, generatedTokens: Int) {
        endedOutputLimit += limit
        generated += generatedTokens
    }

    fun take(): Demand {
        val demand = Demand(promptTokens, outputLimit, prefilledTokens, cached, endedOutputLimit, generated)
        promptTokens = 0.0
        outputLimit = 0.0
        prefilledTokens = 0.0
        cached = 0.0
        endedOutputLimit = 0.0
        generated = 0.0
        return demand
    }
}
