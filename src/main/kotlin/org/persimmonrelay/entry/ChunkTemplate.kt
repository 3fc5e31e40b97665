package org.persimmonrelay.entry

import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.json.Json

/**
 * Encodes the server-sent events of one streamed completion. The JSON around the text is encoded once per completion,
 * so that only the text has to be encoded for each token.
 */
internal class ChunkTemplate(
    private val kind: CompletionKind,
    private val id: String,
    private val created: Long,
    private val model: String,
) {
    private val before: String
    private val after: String

    init {
        val parts = event(null, MARKER, null).split(QUOTED_MARKER)
        before = parts[0]
        after = parts[1]
    }

    /** Appends the event for [text]. */
    fun appendText(to: StringBuilder, text: String) {
        to.append(before).append(JSON.encodeToString(String.serializer(), text)).append(after)
    }

    /** The event with the role that starts a chat completion; empty for a text completion. */
    fun firstEvent(): String = if (kind == CompletionKind.CHAT) event("assistant", "", null) else ""

    /** The event with the finish reason. */
    fun finishEvent(finishReason: String): String =
        event(null, if (kind == CompletionKind.TEXT) "" else null, finishReason)

    /** The event with the token counts. */
    fun usageEvent(usage: Usage): String = when (kind) {
        CompletionKind.CHAT ->
            sseEvent(JSON.encodeToString(ChatChunk(id, kind.chunkObjectName, created, model, emptyList(), usage)))
        CompletionKind.TEXT ->
            sseEvent(JSON.encodeToString(TextCompletion(id, kind.chunkObjectName, created, model, emptyList(), usage)))
    }

    private fun event(role: String?, content: String?, finishReason: String?): String = when (kind) {
        CompletionKind.CHAT -> {
            val choice = ChunkChoice(0, ChunkDelta(role, content), finishReason)
            sseEvent(JSON.encodeToString(ChatChunk(id, kind.chunkObjectName, created, model, listOf(choice))))
        }
        CompletionKind.TEXT -> {
            val choice = TextChoice(0, content.orEmpty(), finishReason = finishReason)
            sseEvent(JSON.encodeToString(TextCompletion(id, kind.chunkObjectName, created, model, listOf(choice))))
        }
    }

    companion object {
        /** The event that ends every stream. */
        val DONE: String = sseEvent("[DONE]")

        private const val MARKER = "\u0001text\u0001"
        private val JSON = Json
        private val QUOTED_MARKER = JSON.encodeToString(String.serializer(), MARKER)

        /** Formats [data] as one server-sent event. */
        fun sseEvent(data: String): String = "data: $data\n\n"
    }
}
