package org.persimmonrelay.entry

import org.persimmonrelay.identity.WorkspaceId
import org.persimmonrelay.once.CallOutcome
import org.persimmonrelay.once.IdempotencyClaim
import org.persimmonrelay.once.RecordedHeader
import org.persimmonrelay.once.RecordedResponse
import java.security.MessageDigest
import java.util.Base64
import java.util.HexFormat

/** Converts between calls to plain services and the records stored for them under an idempotency key. */
internal object IdempotencyRecords {
    private const val DIGEST_ALGORITHM = "SHA-256"
    private const val CONTENT_TYPE = "Content-Type"

    /** The claim of [call]. Its digest covers method, target and body, to detect a key reused for another request. */
    fun claim(workspace: WorkspaceId, service: String, key: String, call: ServiceRequest): IdempotencyClaim {
        val digest = MessageDigest.getInstance(DIGEST_ALGORITHM)
        digest.update("${call.method.value} ${call.target}\n".encodeToByteArray())
        digest.update(call.body)
        return IdempotencyClaim(workspace, "$service/$key", HexFormat.of().formatHex(digest.digest()))
    }

    fun outcome(outcome: ServiceCallOutcome): CallOutcome = when (outcome) {
        is ServiceCallOutcome.Answered -> CallOutcome.Answered(record(outcome.response))
        is ServiceCallOutcome.NotSent -> CallOutcome.NotSent(outcome.message)
        is ServiceCallOutcome.Unknown -> CallOutcome.Unknown(outcome.message)
    }

    fun response(recorded: RecordedResponse): ServiceResponse {
        val (type, others) = recorded.headers.partition { it.name == CONTENT_TYPE }
        return ServiceResponse(
            recorded.status,
            others.map { it.name to it.value },
            type.firstOrNull()?.value,
            Base64.getDecoder().decode(recorded.body),
        )
    }

    private fun record(response: ServiceResponse): RecordedResponse {
        val type = response.contentType?.let { listOf(RecordedHeader(CONTENT_TYPE, it)) }.orEmpty()
        val headers = type + response.headers.map { (name, value) -> RecordedHeader(name, value) }
        return RecordedResponse(response.status, headers, Base64.getEncoder().encodeToString(response.body))
    }
}
