package org.persimmonrelay.once

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import java.security.MessageDigest

/** State of a claimed call. */
@Serializable
internal enum class ClaimState {
    /** The call runs, or its claimer ended before it recorded an outcome; membership tells whether it is alive. */
    CLAIMED,

    /** The call ran and its response was received. */
    ANSWERED,

    /** The call may have run; no complete response was received. */
    UNKNOWN,

    /** The call was not run and never will be under this claim; the key may be claimed again. */
    RELEASED,
}

/**
 * The value of a claim's row. [claim] is unique to the claim; [claimedHour] is in hours since the Unix epoch, for
 * expiry only. [response] is null unless the state is ANSWERED and the response was small enough to be stored.
 */
@Serializable
internal data class ClaimRow(
    val claim: String,
    val bodyDigest: String,
    val node: NodeId,
    val incarnation: Incarnation,
    val claimedHour: Long,
    val state: ClaimState,
    @SerialName("answer")
    val response: RecordedResponse? = null,
) {
    fun encode(): String = Json.encodeToString(serializer(), this)

    companion object {
        const val PREFIX: String = "once/"

        fun decode(value: String): ClaimRow = Json.decodeFromString(serializer(), value)

        /** The row's key. Callers' keys may be long or secret, so only a digest of workspace and key is stored. */
        fun key(claim: IdempotencyClaim): String {
            val digest = MessageDigest.getInstance("SHA-256")
            digest.update(claim.workspace.value.toByteArray())
            digest.update(0)
            digest.update(claim.key.toByteArray())
            return PREFIX + digest.digest().joinToString("") { "%02x".format(it) }
        }
    }
}
