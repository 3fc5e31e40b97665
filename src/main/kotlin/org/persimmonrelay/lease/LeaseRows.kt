/*
 * A lease consists of two rows. The lease row is written only at a takeover, so its version is the epoch, the fencing
 * token of every order, and a transaction with a condition on it fails once another node has taken over. The heartbeat
 * row is renewed by the holder and read by the candidates. Neither contains a time, so nodes' clocks are never
 * compared.
 */
package org.persimmonrelay.lease

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.persimmonrelay.platform.Condition

/** The value of a lease row. */
@Serializable
internal data class LeaseRow(val holder: HolderId) {
    fun encode(): String = Json.encodeToString(serializer(), this)
}

/**
 * The value of a heartbeat row. [beat] counts the renewals within [epoch]. [unresolved] are earlier holders that are
 * not known to have stopped, so their orders may still arrive. [restores] is the table's number of restores as the
 * writer knew it: a row from before the latest restore may have been replaced by one that is lost.
 */
@Serializable
public data class HeartbeatRow(
    val holder: HolderId,
    val epoch: Long,
    val beat: Long,
    val released: Boolean = false,
    val unresolved: List<HolderId> = emptyList(),
    val restores: Long = 0,
) {
    internal fun encode(): String = Json.encodeToString(serializer(), this)

    internal companion object {
        fun decode(value: String): HeartbeatRow = Json.decodeFromString(serializer(), value)
    }
}

/** Keys of the rows of a duty. */
public object LeaseKeys {
    internal fun lease(duty: Duty): String = "lease/${duty.name}"

    internal fun heartbeat(duty: Duty): String = "beat/${duty.name}"

    /**
     * A condition that is met while no other holder has taken over [heldLease]. Its transaction must be committed with
     * [HeldLease.restores], since epochs are assigned again after a restore of the table.
     */
    public fun stillHeld(heldLease: HeldLease): Condition = Condition.VersionIs(lease(heldLease.duty), heldLease.epoch)
}
