package org.persimmonrelay.engine

import kotlinx.serialization.Serializable

/** Why generation ended. */
@Serializable
public enum class FinishReason { STOP, LENGTH }

/**
 * One chunk of an engine's output: the token at [offset], counted from 0.
 *
 * Only the last chunk of a complete output has [finish] set; its text may be empty.
 */
@Serializable
public data class OutputChunk(
    val attempt: Int,
    val offset: Int,
    val text: String,
    val finish: FinishReason? = null,
    val promptTokens: Int = 0,
    val cachedTokens: Int = 0,
)
