package org.persimmonrelay.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveChannel
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.readByteArray
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal
import kotlin.time.Duration

/** Reads request bodies; refuses those over [maxBytes] and those not received within [timeout]. */
internal class RequestBodyReader(private val maxBytes: Long, private val timeout: Duration) {
    suspend fun read(call: ApplicationCall): Either<Refusal.NotRun, ByteArray> {
        val contentLength = call.request.headers[HttpHeaders.ContentLength]?.toLongOrNull() ?: 0L
        if (contentLength > maxBytes) return tooLarge().left()
        val bytes =
            withTimeoutOrNull(timeout) { call.receiveChannel().readRemaining(maxBytes + 1).readByteArray() }
                ?: return tooSlow().left()
        return if (bytes.size > maxBytes) tooLarge().left() else bytes.right()
    }

    private fun tooLarge() =
        Refusal.NotRun(NotRunReason.BODY_TOO_LARGE, "The body exceeds $maxBytes bytes; send a smaller one.")

    private fun tooSlow() =
        Refusal.NotRun(NotRunReason.REQUEST_TIMEOUT, "The body did not arrive within $timeout; send it faster.")
}
