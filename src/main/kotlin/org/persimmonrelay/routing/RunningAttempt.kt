package org.persimmonrelay.routing

import org.persimmonrelay.clock.Moment

/**
 * An attempt on an engine. Tracks what it added to the load estimates, so that each part is subtracted exactly once.
 */
internal class RunningAttempt(
    val waiting: WaitingRequest,
    val prefill: EngineEstimate,
    val decode: EngineEstimate,
    val cachedTokens: Int,
    val predicted: WaitPrediction,
    val startedAt: Moment,
) {
    var progressedAt: Moment = startedAt
    var prefilled = false
    var outputTokens: Int = waiting.outputSoFar

    val prefillTokens: Int
        get() = waiting.promptTokens - cachedTokens
}
