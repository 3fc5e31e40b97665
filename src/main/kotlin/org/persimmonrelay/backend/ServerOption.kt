package org.persimmonrelay.backend

import kotlin.time.Duration

/** Which work a server would do for a request: the whole request, its prefill only, or its decode only. */
internal enum class ServerWorkKind { FULL, PREFILL, DECODE }

/**
 * A server that may do work of one [ServerWorkKind] for a request. The first token is expected after [expected], of
 * which [wait] is due to other requests and [learnedDelay] to recent delays of the server. [cost] adds to the expected
 * time the cost to other requests; the option with the lowest cost is chosen.
 */
internal class ServerOption(
    val server: BackendServer,
    val expected: Duration,
    val wait: Duration,
    val learnedDelay: Duration,
    val cost: Duration,
    val prefillTokens: Int,
    val fetch: PromptCacheFetch? = null,
) {
    fun placement() = Placement.Chosen(server, expected, prefillTokens, fetch, learnedDelay)

    /** The same option after a KV cache transfer to the server, which takes [duration] after a wait of [queue]. */
    fun afterTransfer(duration: Duration, queue: Duration): ServerOption {
        val extra = duration + queue
        return ServerOption(server, expected + extra, wait + queue, queue, cost + extra, prefillTokens)
    }
}
