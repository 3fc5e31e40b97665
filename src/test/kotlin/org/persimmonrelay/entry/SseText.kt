package org.persimmonrelay.entry

import kotlinx.serialization.json.Json

/** Extracts the text of a streamed chat completion; fails if the `[DONE]` event is missing. */
object SseText {
    private val json = Json { ignoreUnknownKeys = true }

    fun of(stream: String): String {
        val events = stream.lines().filter { it.startsWith("data: ") }.map { it.removePrefix("data: ") }
        check(events.lastOrNull() == "[DONE]") { "The stream has no [DONE] event: ${events.lastOrNull()}" }
        return events
            .dropLast(1)
            .flatMap { json.decodeFromString<ChatChunk>(it).choices }
            .joinToString("") { it.delta.content.orEmpty() }
    }
}
