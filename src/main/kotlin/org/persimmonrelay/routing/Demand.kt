package org.persimmonrelay.routing

import kotlinx.serialization.Serializable

/**
 * Work asked of a deployment in some time, and what became of earlier work.
 *
 * [promptTokens] and [outputLimit] are what the arrived requests brought and allowed. Of [promptsRead] prompt
 * tokens, [cachedTokens] were found in caches; of [limitEnded] allowed output tokens of ended requests,
 * [writtenTokens] were written.
 */
@Serializable
public data class Demand(
    val promptTokens: Double = 0.0,
    val outputLimit: Double = 0.0,
    val promptsRead: Double = 0.0,
    val cachedTokens: Double = 0.0,
    val limitEnded: Double = 0.0,
    val writtenTokens: Double = 0.0,
) {
    public operator fun plus(other: Demand): Demand = Demand(
        promptTokens = promptTokens + other.promptTokens,
        outputLimit = outputLimit + other.outputLimit,
        promptsRead = promptsRead + other.promptsRead,
        cachedTokens = cachedTokens + other.cachedTokens,
        limitEnded = limitEnded + other.limitEnded,
        writtenTokens = writtenTokens + other.writtenTokens,
    )

    public companion object {
        public val NONE: Demand = Demand()
    }
}

/** Counts demand on a node. Not thread-safe. */
internal class DemandCounter {
    private var promptTokens = 0.0
    private var outputLimit = 0.0
    private var promptsRead = 0.0
    private var cached = 0.0
    private var limitEnded = 0.0
    private var written = 0.0

    fun arrived(request: DispatchRequest) {
        promptTokens += request.promptTokens
        outputLimit += request.maxOutputTokens
    }

    fun read(prompt: Int, cachedTokens: Int) {
        promptsRead += prompt
        cached += cachedTokens
    }

    fun ended(limit: Int, writtenTokens: Int) {
        limitEnded += limit
        written += writtenTokens
    }

    fun take(): Demand {
        val demand = Demand(promptTokens, outputLimit, promptsRead, cached, limitEnded, written)
        promptTokens = 0.0
        outputLimit = 0.0
        promptsRead = 0.0
        cached = 0.0
        limitEnded = 0.0
        written = 0.0
        return demand
    }
}
