package org.persimmonrelay.routing

import org.persimmonrelay.clock.Moment

/** A request in the queue. [attempt] and [outputSoFar] are 0 unless an earlier attempt may have run. */
internal class Waiting(
    val request: DispatchRequest,
    val outputSoFar: Int,
    val attempt: Int,
    val avoidDomain: String?,
    val notBefore: Moment,
    val giveUpAt: Moment,
    val expectedOutput: Int,
    val cost: Double,
    val sequence: Long,
) {
    var gone = false

    /** True when the request can't have run anywhere. */
    val neverRan: Boolean
        get() = attempt == 0 && outputSoFar == 0

    /** Tokens to read before the next output token. */
    val promptTokens: Int
        get() = request.promptTokens + outputSoFar

    /** KV cache that the whole request is expected to need, in tokens. */
    val kvTokens: Int
        get() = request.promptTokens + maxOf(outputSoFar, expectedOutput)
}
