package org.persimmonrelay.forward

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.persimmonrelay.http.CallerResponse
import org.persimmonrelay.http.RejectionRenderer
import org.persimmonrelay.http.RequestRejection
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal
import kotlin.time.Duration

/** Builds error responses that this node itself sends to callers. */
public class ForwardErrorResponses(
    private val headerCodec: HeaderCodec,
    private val onRejection: (RequestRejection) -> Unit,
) : RejectionRenderer {
    /** Response to a request that was not run. */
    internal fun notRun(id: String?, refusal: Refusal.NotRun): CallerResponse =
        response(refusal.reason.httpStatus, refusal.reason.code, refusal.message, id, refusal.retryAfter)

    /** Response to a request that may have run. */
    internal fun outcomeUnknown(id: String, status: Int, refusal: Refusal.OutcomeUnknown): CallerResponse =
        response(status, "outcome_unknown", refusal.message, id, null)

    override fun render(rejection: RequestRejection): CallerResponse {
        onRejection(rejection)
        val code = when (rejection) {
            RequestRejection.MALFORMED -> NotRunReason.BAD_REQUEST.code
            RequestRejection.SLOW -> NotRunReason.REQUEST_TIMEOUT.code
            RequestRejection.BODY_TOO_LARGE -> NotRunReason.BODY_TOO_LARGE.code
            RequestRejection.HEADER_TOO_LARGE -> "header_too_large"
        }
        return response(
            rejection.status,
            code,
            "The request can't be read; check its form, size and pace.",
            null,
            null,
        )
    }

    private fun response(
        status: Int,
        code: String,
        message: String,
        id: String?,
        retryAfter: Duration?,
    ): CallerResponse {
        val body = Json.encodeToString(ErrorBody.serializer(), ErrorBody(ErrorDetail(code, message)))
        val headers = headerCodec.generatedHeaders(id, retryAfter).set("Content-Type", "application/json")
        return CallerResponse(status, headers, body.encodeToByteArray())
    }

    @Serializable
    private data class ErrorBody(val error: ErrorDetail)

    @Serializable
    private data class ErrorDetail(val code: String, val message: String)
}
