package org.persimmonrelay.routing

/** An attempt on an engine. Counts its effects on the estimates, so that each is taken back exactly once. */
internal class RunningAttempt(
    val waiting: Waiting,
    val prefill: EngineEstimate,
    val decode: EngineEstimate,
    val cachedTokens: Int,
) {
    var prefilled = false
    var outputTokens: Int = waiting.outputSoFar

    val readTokens: Int
        get() = waiting.promptTokens - cachedTokens
}
