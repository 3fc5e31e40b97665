/*
 * Request bodies of the OpenAI-compatible API. Fields that aren't declared here are ignored.
 */
package org.persimmonrelay.entry

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.JsonTransformingSerializer

/** Body of `POST /v1/chat/completions`. */
@Serializable
internal data class ChatRequest(
    val model: String,
    val messages: List<ChatMessage>,
    val stream: Boolean = false,
    @SerialName("stream_options") val streamOptions: StreamOptions? = null,
    @SerialName("max_tokens") val maxTokens: Int? = null,
    @SerialName("max_completion_tokens") val maxCompletionTokens: Int? = null,
    val n: Int? = null,
)

/** One message of a conversation. */
@Serializable
internal data class ChatMessage(
    val role: String,
    @Serializable(with = ContentSerializer::class) val content: List<ContentPart> = emptyList(),
)

/** A part of a message's content; only parts of type `text` are supported. */
@Serializable
internal data class ContentPart(val type: String, val text: String? = null)

@Serializable
internal data class StreamOptions(@SerialName("include_usage") val includeUsage: Boolean = false)

/** Body of `POST /v1/completions`. */
@Serializable
internal data class CompletionRequest(
    val model: String,
    @Serializable(with = PromptSerializer::class) val prompt: List<String>,
    val stream: Boolean = false,
    @SerialName("stream_options") val streamOptions: StreamOptions? = null,
    @SerialName("max_tokens") val maxTokens: Int? = null,
    val n: Int? = null,
)

/** Deserializes content given as a string to a single text part. */
internal object ContentSerializer : JsonTransformingSerializer<List<ContentPart>>(
    ListSerializer(ContentPart.serializer()),
) {
    override fun transformDeserialize(element: JsonElement): JsonElement = when (element) {
        is JsonNull -> JsonArray(emptyList())
        is JsonPrimitive -> JsonArray(listOf(JsonObject(mapOf("type" to JsonPrimitive("text"), "text" to element))))
        else -> element
    }
}

/** Deserializes a prompt given as one string to a list with one element. */
internal object PromptSerializer : JsonTransformingSerializer<List<String>>(
    ListSerializer(String.serializer()),
) {
    override fun transformDeserialize(element: JsonElement): JsonElement =
        if (element is JsonPrimitive) JsonArray(listOf(element)) else element
}
