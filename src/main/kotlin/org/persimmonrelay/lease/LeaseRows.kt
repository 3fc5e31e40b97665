/*
 * A lease is two rows. The lease row is written only when the lease changes hands, so its version is the epoch,
 * the fencing token of every order, and a transaction that puts a condition on it fails once another node took
 * over. The beat row is renewed by the holder and watched by the candidates. Neither holds a moment in time:
 * nodes' clocks are never compared.
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
 * The value of a beat row. [unresolved] are earlier holders that were not seen to have stopped: their orders may
 * still be under way.
 */
@Serializable
public data class BeatRow(
    val holder: HolderId,
    val epoch: Long,
    val beat: Long,
    val released: Boolean = false,
    val unresolved: List<HolderId> = emptyList(),
) {
    internal fun encode(): String = Json.encodeToString(serializer(), this)

    internal companion object {
        fun decode(value: String): BeatRow = Json.decodeFromString(serializer(), value)
    }
}

/** Keys of the rows of a duty. */
public object LeaseKeys {
    internal fun lease(duty: Duty): String = "lease/${duty.name}"

    internal fun beat(duty: Duty): String = "beat/${duty.name}"

    /** Holds while nobody has taken [duty] over from the holder with [epoch]. */
    public fun stillHeld(duty: Duty, epoch: Long): Condition = Condition.VersionIs(lease(duty), epoch)
}
