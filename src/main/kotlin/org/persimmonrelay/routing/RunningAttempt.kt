package org.persimmonrelay.routing

import org.persimmonrelay.clock.Moment

/** An attempt on an engine. Counts its effects on the estimates, so that each is taken back exactly once. */
internal class RunningAttempt(
    val waiting: Waiting,
    val prefill: EngineEstimate,
    val decode: EngineEstimate,
    val cachedTokens: Int,
    val predicted: WaitPrediction,
    val startedAt: Moment,
) {
    var progressedAt: Moment = startedAt
    var prefilled = false
    var outputTokens: Int = waiting.outputSoFar

    val readTokens: Int
        get() = waiting.promptTokens - cachedTokens
}
