package org.persimmonrelay.entry

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import kotlinx.serialization.json.Json
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Writes refusals as OpenAI-style error responses. */
internal object ErrorResponses {
    /** HTTP status of a response when the outcome of the request is unknown. */
    const val UNKNOWN_STATUS = 502

    /** Error code of a response when the outcome of the request is unknown. */
    const val UNKNOWN_CODE = "outcome_unknown"

    /** Header with the kind of refusal: `not-run` or `unknown`. */
    const val OUTCOME_HEADER = "X-Outcome"

    private const val FIRST_SERVER_ERROR = 500
    private val DEFAULT_RETRY = 1.seconds
    private val JSON = Json { encodeDefaults = false }

    fun nodeDraining() = Refusal.NotRun(
        NotRunReason.NODE_LEAVING,
        "This node leaves; send the request again on a new connection.",
        DEFAULT_RETRY,
    )

    fun noEngineAvailable() = Refusal.NotRun(
        NotRunReason.NO_SERVER,
        "No engine could be reached; try again after the given time.",
        DEFAULT_RETRY,
    )

    fun unexpectedError() =
        Refusal.OutcomeUnknown("An unexpected error broke off the request; report it with the time of the request.")

    suspend fun send(call: ApplicationCall, refusal: Refusal) {
        if (refusal is Refusal.NotRun) retryAfter(call, refusal)
        call.response.header(OUTCOME_HEADER, if (refusal is Refusal.NotRun) "not-run" else "unknown")
        call.respondText(encode(refusal), ContentType.Application.Json, HttpStatusCode.fromValue(status(refusal)))
    }

    /** The error object, for use as a response body or as a server-sent event. */
    fun encode(refusal: Refusal): String = JSON.encodeToString(ErrorResponse.serializer(), ErrorResponse(body(refusal)))

    private fun body(refusal: Refusal) = when (refusal) {
        is Refusal.NotRun -> ErrorBody(refusal.message, type(refusal.reason), code = refusal.reason.code)
        is Refusal.OutcomeUnknown -> ErrorBody(refusal.message, "server_error", code = UNKNOWN_CODE)
    }

    private fun status(refusal: Refusal) = when (refusal) {
        is Refusal.NotRun -> refusal.reason.httpStatus
        is Refusal.OutcomeUnknown -> UNKNOWN_STATUS
    }

    private fun type(reason: NotRunReason) = when {
        reason == NotRunReason.INVALID_KEY -> "authentication_error"
        reason == NotRunReason.WORKSPACE_LIMIT -> "rate_limit_error"
        reason.httpStatus >= FIRST_SERVER_ERROR -> "server_error"
        else -> "invalid_request_error"
    }

    private fun retryAfter(call: ApplicationCall, refusal: Refusal.NotRun) {
        val after = refusal.retryAfter ?: return
        call.response.header(HttpHeaders.RetryAfter, secondsRoundedUp(after).toString())
    }

    private fun secondsRoundedUp(duration: Duration): Long =
        maxOf(1L, ceil(duration.toDouble(DurationUnit.SECONDS)).toLong())
}
