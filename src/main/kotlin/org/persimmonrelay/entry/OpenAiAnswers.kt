/*
 * Answers in the usual form of model interfaces.
 */
package org.persimmonrelay.entry

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Tokens of a request, as the engine counted them. */
@Serializable
internal data class Usage(
    @SerialName("prompt_tokens") val promptTokens: Int,
    @SerialName("completion_tokens") val completionTokens: Int,
    @SerialName("total_tokens") val totalTokens: Int,
    @SerialName("prompt_tokens_details") val promptDetails: PromptTokensDetails,
)

@Serializable
internal data class PromptTokensDetails(@SerialName("cached_tokens") val cachedTokens: Int)

/** A whole chat answer. */
@Serializable
internal data class ChatCompletion(
    val id: String,
    @SerialName("object") val kind: String,
    val created: Long,
    val model: String,
    val choices: List<ChatChoice>,
    val usage: Usage,
)

@Serializable
internal data class ChatChoice(
    val index: Int,
    val message: AnswerMessage,
    @SerialName("finish_reason") val finishReason: String,
)

@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class AnswerMessage(val role: String, val content: String, @EncodeDefault val refusal: String? = null)

/** A whole plain completion. */
@Serializable
internal data class TextCompletion(
    val id: String,
    @SerialName("object") val kind: String,
    val created: Long,
    val model: String,
    val choices: List<TextChoice>,
    val usage: Usage? = null,
)

@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class TextChoice(
    val index: Int,
    val text: String,
    @EncodeDefault val logprobs: String? = null,
    @EncodeDefault @SerialName("finish_reason") val finishReason: String? = null,
)

/** One event of a streamed chat answer. */
@Serializable
internal data class ChatChunk(
    val id: String,
    @SerialName("object") val kind: String,
    val created: Long,
    val model: String,
    val choices: List<ChunkChoice>,
    val usage: Usage? = null,
)

@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class ChunkChoice(
    val index: Int,
    val delta: ChunkDelta,
    @EncodeDefault @SerialName("finish_reason") val finishReason: String? = null,
)

@Serializable
internal data class ChunkDelta(val role: String? = null, val content: String? = null)

/** Answer of `GET /v1/models`. */
@Serializable
internal data class ModelList(@SerialName("object") val kind: String, val data: List<ModelEntry>)

@Serializable
internal data class ModelEntry(
    val id: String,
    @SerialName("object") val kind: String,
    val created: Long,
    @SerialName("owned_by") val ownedBy: String,
)

/** The usual error object. */
@Serializable
internal data class ErrorAnswer(val error: ErrorBody)

@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class ErrorBody(
    val message: String,
    val type: String,
    @EncodeDefault val param: String? = null,
    val code: String,
)
