package org.persimmonrelay.admin

import io.ktor.http.HttpStatusCode
import org.persimmonrelay.catalog.ChangeFailure

/** HTTP status and body of an error response. */
internal data class HttpErrorResponse(val status: HttpStatusCode, val body: AdminErrorResponse)

/** Maps each failure to its error response. */
internal object AdminErrors {
    fun responseTo(failure: AdminFailure): HttpErrorResponse = when (failure) {
        is AdminFailure.BadRequest -> basic(HttpStatusCode.BadRequest, "bad_request", failure)
        is AdminFailure.Unauthorized -> basic(HttpStatusCode.Unauthorized, "unauthorized", failure)
        is AdminFailure.NotAnOperator -> basic(HttpStatusCode.Forbidden, "not_an_operator", failure)
        is AdminFailure.KeyStateUnknown -> basic(HttpStatusCode.ServiceUnavailable, "key_state_unknown", failure)
        is AdminFailure.NotFound -> basic(HttpStatusCode.NotFound, "not_found", failure)
        is AdminFailure.TooLarge -> basic(HttpStatusCode.PayloadTooLarge, "body_too_large", failure)
        is AdminFailure.StoreUnavailable -> basic(HttpStatusCode.ServiceUnavailable, "store_unavailable", failure)
        is AdminFailure.ChangeFailed -> changeFailed(failure.failure)
    }

    private fun basic(status: HttpStatusCode, code: String, failure: AdminFailure) =
        response(status, AdminError(code, failure.message, failure.remedy))

    private fun changeFailed(failure: ChangeFailure): HttpErrorResponse = when (failure) {
        is ChangeFailure.Invalid ->
            response(
                HttpStatusCode.UnprocessableEntity,
                body("invalid_change", failure).copy(mistakes = failure.errors),
            )
        is ChangeFailure.NotFound -> response(HttpStatusCode.NotFound, body("not_found", failure))
        is ChangeFailure.Conflict ->
            response(HttpStatusCode.Conflict, body("conflict", failure).copy(version = failure.current))
        is ChangeFailure.Unavailable ->
            response(HttpStatusCode.ServiceUnavailable, body("store_unavailable", failure))
        is ChangeFailure.OutcomeUnknown ->
            response(
                HttpStatusCode.GatewayTimeout,
                body("outcome_unknown", failure)
                    .copy(version = failure.version, operation = failure.operation.value),
            )
    }

    private fun body(code: String, failure: ChangeFailure) = AdminError(code, failure.message, failure.remedy)

    private fun response(status: HttpStatusCode, body: AdminError) = HttpErrorResponse(status, AdminErrorResponse(body))
}
