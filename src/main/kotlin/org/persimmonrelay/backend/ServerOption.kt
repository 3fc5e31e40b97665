package org.persimmonrelay.backend

import kotlin.time.Duration

/** What a server would do for a request: all of it, read its prompt, or make its tokens. */
internal enum class ServerWorkKind { WHOLE, READ, MAKE }

/**
 * A server that may do [ServerWorkKind] work for a request: the first token is [expected] then, and [cost] counts
 * besides what that takes from others. The least cost wins.
 */
internal class ServerOption(
    val server: BackendServer,
    val expected: Duration,
    val cost: Duration,
    val prefillTokens: Int,
    val fetch: PromptFetch? = null,
) {
    fun placement() = Placement.Chosen(server, expected, prefillTokens, fetch)

    /** The same with a move of the prompt's memory to the server before, which takes [move]. */
    fun after(move: Duration) = ServerOption(server, expected + move, cost + move, prefillTokens)
}
