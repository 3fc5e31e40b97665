package org.persimmonrelay.entry

import org.persimmonrelay.engine.FinishReason
import org.persimmonrelay.engine.OutputChunk

/** Counts the tokens of one completion as its output is sent to the caller. */
internal class UsageCounter {
    var promptTokens: Int = 0
        private set
    var outputTokens: Int = 0
        private set
    var finish: FinishReason? = null
        private set
    private var cachedTokens = 0

    fun add(chunks: List<OutputChunk>) {
        for (chunk in chunks) {
            if (chunk.text.isNotEmpty()) outputTokens++
            promptTokens = maxOf(promptTokens, chunk.promptTokens)
            cachedTokens = maxOf(cachedTokens, chunk.cachedTokens)
            finish = chunk.finish ?: finish
        }
    }

    fun usage() = Usage(promptTokens, outputTokens, promptTokens + outputTokens, PromptTokensDetails(cachedTokens))

    /** The finish reason as it is written in responses. */
    fun finishReason(): String = if (finish == FinishReason.LENGTH) "length" else "stop"
}
