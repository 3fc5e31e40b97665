package org.persimmonrelay.forward

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.persimmonrelay.http.CallerResponse
import org.persimmonrelay.http.RejectionRenderer
import org.persimmonrelay.http.RequestRejection
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal
import kotlin.time.Duration

/** Renders this node's own answers. */
public class OwnAnswers(private val dialect: HeaderCodec, private val onReject: (RequestRejection) -> Unit) :
    RejectionRenderer {
    /** The answer to a request that was not run. */
    internal fun notRun(id: String?, refusal: Refusal.NotRun): CallerResponse =
        answer(refusal.reason.httpStatus, refusal.reason.code, refusal.message, id, refusal.retryAfter)

    /** The answer to a request that may have run. */
    internal fun unknown(id: String, status: Int, refusal: Refusal.OutcomeUnknown): CallerResponse =
        answer(status, "outcome_unknown", refusal.message, id, null)

    override fun answer(reject: RequestRejection): CallerResponse {
        onReject(reject)
        val code = when (reject) {
            RequestRejection.MALFORMED -> NotRunReason.BAD_REQUEST.code
            RequestRejection.SLOW -> NotRunReason.REQUEST_TIMEOUT.code
            RequestRejection.BODY_TOO_LARGE -> NotRunReason.BODY_TOO_LARGE.code
            RequestRejection.HEADER_TOO_LARGE -> "header_too_large"
        }
        return answer(reject.status, code, "The request can't be read; check its form, size and pace.", null, null)
    }

    private fun answer(status: Int, code: String, message: String, id: String?, retryAfter: Duration?): CallerResponse {
        val body = Json.encodeToString(ErrorBody.serializer(), ErrorBody(ErrorDetail(code, message)))
        val headers = dialect.generatedHeaders(id, retryAfter).set("Content-Type", "application/json")
        return CallerResponse(status, headers, body.encodeToByteArray())
    }

    @Serializable
    private data class ErrorBody(val error: ErrorDetail)

    @Serializable
    private data class ErrorDetail(val code: String, val message: String)
}
