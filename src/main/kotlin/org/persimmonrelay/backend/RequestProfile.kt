package org.persimmonrelay.backend

import org.persimmonrelay.route.ServiceId

/** A part of a prompt; requests that share it have the same [id]. */
public data class PromptPart(val id: String, val tokens: Int)

/**
 * The properties of a request that placement depends on. For services that are not engines, [prompt] is empty and the
 * token counts are 0. [seed] spreads requests over servers of equal cost. [contentHash] is the same for requests that
 * ask for the same; null if it is not known.
 */
public data class RequestProfile(
    val service: ServiceId,
    val prompt: List<PromptPart> = emptyList(),
    val promptTokens: Int = 0,
    val outputTokens: Int = 0,
    val seed: Int = 0,
    val contentHash: String? = null,
) {
    /** Parts that other requests may share: all but the last, which belongs to this request or its session. */
    val shared: List<PromptPart> = prompt.dropLast(1)

    val sharedTokens: Int = shared.sumOf { it.tokens }

    val hasPrompt: Boolean
        get() = promptTokens > 0
}
