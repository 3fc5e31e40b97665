package org.persimmonrelay.entry

import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.json.Json

/**
 * The events of one streamed answer. The parts around the text are encoded once per answer, so that a token
 * costs the quoting of its text only.
 */
internal class ChunkTemplate(
    private val form: AnswerForm,
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
    fun text(to: StringBuilder, text: String) {
        to.append(before).append(JSON.encodeToString(String.serializer(), text)).append(after)
    }

    /** The event that opens a chat answer with its role. */
    fun opening(): String = if (form == AnswerForm.CHAT) event("assistant", "", null) else ""

    /** The event that says why the answer ended. */
    fun closing(finishReason: String): String = event(null, if (form == AnswerForm.TEXT) "" else null, finishReason)

    /** The event that carries the token counts. */
    fun usage(usage: Usage): String = when (form) {
        AnswerForm.CHAT ->
            wrap(JSON.encodeToString(ChatChunk(id, form.chunkKind, created, model, emptyList(), usage)))
        AnswerForm.TEXT ->
            wrap(JSON.encodeToString(TextCompletion(id, form.chunkKind, created, model, emptyList(), usage)))
    }

    private fun event(role: String?, content: String?, finishReason: String?): String = when (form) {
        AnswerForm.CHAT -> {
            val choice = ChunkChoice(0, ChunkDelta(role, content), finishReason)
            wrap(JSON.encodeToString(ChatChunk(id, form.chunkKind, created, model, listOf(choice))))
        }
        AnswerForm.TEXT -> {
            val choice = TextChoice(0, content.orEmpty(), finishReason = finishReason)
            wrap(JSON.encodeToString(TextCompletion(id, form.chunkKind, created, model, listOf(choice))))
        }
    }

    companion object {
        /** The event after the last one. */
        val DONE: String = wrap("[DONE]")

        private const val MARKER = "\u0001text\u0001"
        private val JSON = Json
        private val QUOTED_MARKER = JSON.encodeToString(String.serializer(), MARKER)

        /** [data] as one server-sent event. */
        fun wrap(data: String): String = "data: $data\n\n"
    }
}
