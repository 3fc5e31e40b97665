package org.persimmonrelay.entry

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondBytes

/** Writes the response of a plain service to the caller. */
internal object ServiceResponses {
    private const val REPLAYED_HEADER = "Idempotent-Replayed"

    suspend fun send(call: ApplicationCall, response: ServiceResponse) {
        response.headers.forEach { (name, value) -> call.response.header(name, value) }
        val type = response.contentType?.let(ContentType::parse)
        call.respondBytes(response.body, type, HttpStatusCode.fromValue(response.status))
    }

    /** Sends a response that was recorded for an earlier request, and marks it as replayed. */
    suspend fun sendReplay(call: ApplicationCall, response: ServiceResponse) {
        call.response.header(REPLAYED_HEADER, "true")
        send(call, response)
    }
}
