package org.persimmonrelay.backend

import kotlin.time.Duration

/** Which work a server would do for a request: the whole request, its prefill only, or its decode only. */
internal enum class ServerWorkKind { FULL, PREFILL, DECODE }

/**
 * A server that may do work of one [ServerWorkKind] for a request. The first token is expected after [expected]. [cost]
 * adds to that the cost to other requests; the option with the lowest cost is chosen.
 */
internal class ServerOption(
    val server: BackendServer,
    val expected: Duration,
    val cost: Duration,
    val prefillTokens: Int,
    val fetch: PromptCacheFetch? = null,
) {
    fun placement() = Placement.Chosen(server, expected, prefillTokens, fetch)

    /** The same option after a KV cache transfer to the server, which takes [duration]. */
    fun afterTransfer(duration: Duration) = ServerOption(server, expected + duration, cost + duration, prefillTokens)
}
