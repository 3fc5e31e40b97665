package org.persimmonrelay.entry

import org.persimmonrelay.identity.WorkspaceId
import org.persimmonrelay.once.CallOutcome
import org.persimmonrelay.once.IdempotencyClaim
import org.persimmonrelay.once.RecordedHeader
import org.persimmonrelay.once.RecordedResponse
import java.security.MessageDigest
import java.util.Base64
import java.util.HexFormat

/** Translates between calls to plain services and what is kept of them under an idempotency key. */
internal object ServiceClaims {
    private const val DIGEST = "SHA-256"
    private const val CONTENT_TYPE = "Content-Type"

    /** The claim covers method, target and body, so that the same key with another request is told apart. */
    fun claim(workspace: WorkspaceId, service: String, key: String, call: ServiceCall): IdempotencyClaim {
        val digest = MessageDigest.getInstance(DIGEST)
        digest.update("${call.method.value} ${call.target}\n".encodeToByteArray())
        digest.update(call.body)
        return IdempotencyClaim(workspace, "$service/$key", HexFormat.of().formatHex(digest.digest()))
    }

    fun end(end: ServiceEnd): CallOutcome = when (end) {
        is ServiceEnd.Answered -> CallOutcome.Answered(record(end.answer))
        is ServiceEnd.NotSent -> CallOutcome.NotSent(end.message)
        is ServiceEnd.Unknown -> CallOutcome.Unknown(end.message)
    }

    fun answer(recorded: RecordedResponse): ServiceAnswer {
        val (type, others) = recorded.headers.partition { it.name == CONTENT_TYPE }
        return ServiceAnswer(
            recorded.status,
            others.map { it.name to it.value },
            type.firstOrNull()?.value,
            Base64.getDecoder().decode(recorded.body),
        )
    }

    private fun record(answer: ServiceAnswer): RecordedResponse {
        val type = answer.contentType?.let { listOf(RecordedHeader(CONTENT_TYPE, it)) }.orEmpty()
        val headers = type + answer.headers.map { (name, value) -> RecordedHeader(name, value) }
        return RecordedResponse(answer.status, headers, Base64.getEncoder().encodeToString(answer.body))
    }
}
