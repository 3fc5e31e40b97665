package org.persimmonrelay.entry

import kotlinx.serialization.json.Json

/** Reads the text out of a streamed chat answer; fails when it has no end. */
object SseText {
    private val json = Json { ignoreUnknownKeys = true }

    fun of(stream: String): String {
        val events = stream.lines().filter { it.startsWith("data: ") }.map { it.removePrefix("data: ") }
        check(events.lastOrNull() == "[DONE]") { "The stream has no end: ${events.lastOrNull()}" }
        return events
            .dropLast(1)
            .flatMap { json.decodeFromString<ChatChunk>(it).choices }
            .joinToString("") { it.delta.content.orEmpty() }
    }
}
