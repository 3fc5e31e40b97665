package org.persimmonrelay.backend

import org.persimmonrelay.route.ServiceId

/** A part of a prompt: requests that share it carry the same [id]. */
public data class PromptPart(val id: String, val tokens: Int)

/**
 * What placement needs to know of a request. [prompt] is empty and [outputTokens] 0 where no engine is concerned.
 * [seed] spreads requests over servers that are equally good.
 */
public data class RequestProfile(
    val service: ServiceId,
    val prompt: List<PromptPart> = emptyList(),
    val promptTokens: Int = 0,
    val outputTokens: Int = 0,
    val seed: Int = 0,
) {
    /** The parts that other requests may share: all but the last, which is the request's or its session's own. */
    val shared: List<PromptPart> = prompt.dropLast(1)

    val sharedTokens: Int = shared.sumOf { it.tokens }

    val isPrompted: Boolean
        get() = promptTokens > 0
}
