/*
 * Response bodies of the OpenAI-compatible API.
 */
package org.persimmonrelay.entry

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Token counts of a request, as reported by the engine. */
@Serializable
internal data class Usage(
    @SerialName("prompt_tokens") val promptTokens: Int,
    @SerialName("completion_tokens") val completionTokens: Int,
    @SerialName("total_tokens") val totalTokens: Int,
    @SerialName("prompt_tokens_details") val promptDetails: PromptTokensDetails,
)

@Serializable
internal data class PromptTokensDetails(@SerialName("cached_tokens") val cachedTokens: Int)

/** Body of a chat completion that is not streamed. */
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
    val message: AssistantMessage,
    @SerialName("finish_reason") val finishReason: String,
)

@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class AssistantMessage(val role: String, val content: String, @EncodeDefault val refusal: String? = null)

/** Body of a text completion; when streamed, one event of it. */
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

/** One event of a streamed chat completion. */
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

/** Response of `GET /v1/models`. */
@Serializable
internal data class ModelList(@SerialName("object") val kind: String, val data: List<ModelEntry>)

@Serializable
internal data class ModelEntry(
    val id: String,
    @SerialName("object") val kind: String,
    val created: Long,
    @SerialName("owned_by") val ownedBy: String,
)

/** Body of an error response. */
@Serializable
internal data class ErrorResponse(val error: ErrorBody)

@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class ErrorBody(
    val message: String,
    val type: String,
    @EncodeDefault val param: String? = null,
    val code: String,
)
