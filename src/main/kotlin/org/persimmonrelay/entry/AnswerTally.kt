package org.persimmonrelay.entry

import org.persimmonrelay.engine.FinishReason
import org.persimmonrelay.engine.OutputChunk

/** Counts the tokens of one answer as they are handed on. */
internal class AnswerTally {
    var promptTokens: Int = 0
        private set
    var outputTokens: Int = 0
        private set
    var finish: FinishReason? = null
        private set
    private var cachedTokens = 0

    fun add(pieces: List<OutputChunk>) {
        for (piece in pieces) {
            if (piece.text.isNotEmpty()) outputTokens++
            promptTokens = maxOf(promptTokens, piece.promptTokens)
            cachedTokens = maxOf(cachedTokens, piece.cachedTokens)
            finish = piece.finish ?: finish
        }
    }

    fun usage() = Usage(promptTokens, outputTokens, promptTokens + outputTokens, PromptTokensDetails(cachedTokens))

    /** The finish reason in the callers' words. */
    fun finishReason(): String = if (finish == FinishReason.LENGTH) "length" else "stop"
}
