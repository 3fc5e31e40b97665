package org.persimmonrelay.admin

import io.ktor.http.HttpStatusCode
import org.persimmonrelay.catalog.ChangeFailure

/** An HTTP status and the body that goes with it. */
internal data class ErrorResponse(val status: HttpStatusCode, val body: AdminErrorResponse)

/** How each failure looks on the wire. */
internal object AdminErrors {
    fun responseTo(failure: AdminFailure): ErrorResponse = when (failure) {
        is AdminFailure.BadRequest -> plain(HttpStatusCode.BadRequest, "bad_request", failure)
        is AdminFailure.Unauthorized -> plain(HttpStatusCode.Unauthorized, "unauthorized", failure)
        is AdminFailure.NotAnOperator -> plain(HttpStatusCode.Forbidden, "not_an_operator", failure)
        is AdminFailure.KeyStateUnknown -> plain(HttpStatusCode.ServiceUnavailable, "key_state_unknown", failure)
        is AdminFailure.NoSuchThing -> plain(HttpStatusCode.NotFound, "not_found", failure)
        is AdminFailure.TooLarge -> plain(HttpStatusCode.PayloadTooLarge, "body_too_large", failure)
        is AdminFailure.StoreUnavailable -> plain(HttpStatusCode.ServiceUnavailable, "store_unavailable", failure)
        is AdminFailure.NotChanged -> notChanged(failure.failure)
    }

    private fun plain(status: HttpStatusCode, code: String, failure: AdminFailure) =
        response(status, AdminError(code, failure.message, failure.remedy))

    private fun notChanged(failure: ChangeFailure): ErrorResponse = when (failure) {
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

    private fun response(status: HttpStatusCode, body: AdminError) = ErrorResponse(status, AdminErrorResponse(body))
}
