package org.persimmonrelay.routing

import org.persimmonrelay.clock.Moment

/**
 * A request in the queue, with its [cost] in engine seconds. It may start from [notBefore] and fails at [expiresAt].
 * [attempt] and [outputSoFar] are 0 unless an earlier attempt may have run.
 */
internal class WaitingRequest(
    val request: DispatchRequest,
    val outputSoFar: Int,
    val attempt: Int,
    val avoidDomain: String?,
    val notBefore: Moment,
    val expiresAt: Moment,
    val expectedOutput: Int,
    val cost: Double,
    val sequence: Long,
) {
    var removed = false

    /** True when the request can't have run anywhere. */
    val neverRan: Boolean
        get() = attempt == 0 && outputSoFar == 0

    /** Tokens to prefill before the next output token. */
    val promptTokens: Int
        get() = request.promptTokens + outputSoFar

    /** Expected size of the request's KV cache at its end, in tokens. */
    val kvTokens: Int
        get() = request.promptTokens + maxOf(outputSoFar, expectedOutput)
}
