package org.persimmonrelay.engine

import kotlinx.serialization.Serializable

/** Why an answer ended. */
@Serializable
public enum class FinishReason { STOP, LENGTH }

/** One output token at [offset] (from 0). The last piece of a whole answer has [finish] set and may have no text. */
@Serializable
public data class OutputChunk(
    val attempt: Int,
    val offset: Int,
    val text: String,
    val finish: FinishReason? = null,
    val promptTokens: Int = 0,
    val cachedTokens: Int = 0,
)
