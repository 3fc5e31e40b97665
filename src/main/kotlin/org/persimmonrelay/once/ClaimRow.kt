package org.persimmonrelay.once

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import java.security.MessageDigest

/** Where a claimed call stands. */
@Serializable
internal enum class ClaimState {
    /** It runs, or its claimer died; only the claimer's life tells which. */
    CLAIMED,

    /** It ran and has an answer. */
    ANSWERED,

    /** It may have run. */
    UNKNOWN,

    /** It has not run and never will under this claim; the key may be claimed again. */
    RELEASED,
}

/** The value of a claim's row. [claimedHour] counts hours since the Unix epoch, for expiry only. */
@Serializable
internal data class ClaimRow(
    val claim: String,
    val bodyDigest: String,
    val node: NodeId,
    val incarnation: Incarnation,
    val claimedHour: Long,
    val state: ClaimState,
    val answer: RecordedResponse? = null,
) {
    fun encode(): String = Json.encodeToString(serializer(), this)

    companion object {
        const val PREFIX: String = "once/"

        fun decode(value: String): ClaimRow = Json.decodeFromString(serializer(), value)

        /** The row's key: callers' keys may be long and may be secrets, so only a digest is stored. */
        fun key(claim: IdempotencyClaim): String {
            val digest = MessageDigest.getInstance("SHA-256")
            digest.update(claim.workspace.value.toByteArray())
            digest.update(0)
            digest.update(claim.key.toByteArray())
            return PREFIX + digest.digest().joinToString("") { "%02x".format(it) }
        }
    }
}
