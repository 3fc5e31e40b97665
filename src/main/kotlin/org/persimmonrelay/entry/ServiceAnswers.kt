package org.persimmonrelay.entry

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondBytes

/** Writes a plain service's answer to the caller. */
internal object ServiceAnswers {
    private const val REPLAYED = "Idempotent-Replayed"

    suspend fun send(call: ApplicationCall, answer: ServiceAnswer) {
        answer.headers.forEach { (name, value) -> call.response.header(name, value) }
        val type = answer.contentType?.let(ContentType::parse)
        call.respondBytes(answer.body, type, HttpStatusCode.fromValue(answer.status))
    }

    /** Marks the answer as one that was recorded earlier. */
    suspend fun sendReplay(call: ApplicationCall, answer: ServiceAnswer) {
        call.response.header(REPLAYED, "true")
        send(call, answer)
    }
}
