package org.persimmonrelay.forward

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.persimmonrelay.http.CallerAnswer
import org.persimmonrelay.http.CallerReject
import org.persimmonrelay.http.CallerRejects
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal
import kotlin.time.Duration

/** Renders this node's own answers. */
public class OwnAnswers(private val dialect: CallDialect, private val onReject: (CallerReject) -> Unit) :
    CallerRejects {
    /** The answer to a request that was not run. */
    internal fun notRun(id: String?, refusal: Refusal.NotRun): CallerAnswer =
        answer(refusal.reason.httpStatus, refusal.reason.code, refusal.message, id, refusal.retryAfter)

    /** The answer to a request that may have run. */
    internal fun unknown(id: String, status: Int, refusal: Refusal.OutcomeUnknown): CallerAnswer =
        answer(status, "outcome_unknown", refusal.message, id, null)

    override fun answer(reject: CallerReject): CallerAnswer {
        onReject(reject)
        val code = when (reject) {
            CallerReject.MALFORMED -> NotRunReason.BAD_REQUEST.code
            CallerReject.SLOW -> NotRunReason.REQUEST_TIMEOUT.code
            CallerReject.BODY_TOO_LARGE -> NotRunReason.BODY_TOO_LARGE.code
            CallerReject.HEADER_TOO_LARGE -> "header_too_large"
        }
        return answer(reject.status, code, "The request can't be read; check its form, size and pace.", null, null)
    }

    private fun answer(status: Int, code: String, message: String, id: String?, retryAfter: Duration?): CallerAnswer {
        val body = Json.encodeToString(ErrorBody.serializer(), ErrorBody(ErrorDetail(code, message)))
        val headers = dialect.own(id, retryAfter).set("Content-Type", "application/json")
        return CallerAnswer(status, headers, body.encodeToByteArray())
    }

    @Serializable
    private data class ErrorBody(val error: ErrorDetail)

    @Serializable
    private data class ErrorDetail(val code: String, val message: String)
}
