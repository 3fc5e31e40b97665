package org.persimmonrelay.lease

import org.persimmonrelay.clock.Moment

/**
 * The lease of [duty] that this process holds since [acquiredAt], on its own clock. [epoch] counts the takeovers in the
 * table, [restores] is the table's number of restores when this process last saw that it holds the lease.
 *
 * While [unresolved] is not empty, messages of those earlier holders may still arrive, and nothing may be sent to a
 * receiver that does not check the fencing token.
 */
public data class HeldLease(
    val duty: Duty,
    val epoch: Long,
    val unresolved: List<HolderId>,
    val acquiredAt: Moment,
    val restores: Long = 0,
) {
    /** True when no order of an earlier holder can still arrive. */
    public val isExclusive: Boolean
        get() = unresolved.isEmpty()

    /** Rises with each change of the holder, also when a restore of the table has lost takeovers. */
    public val fencingToken: Long
        get() = fencingToken(restores, epoch)
}

/** The fencing token of the lease with [epoch] in a table that was restored [restores] times. */
internal fun fencingToken(restores: Long, epoch: Long): Long = (restores shl EPOCH_BITS) + epoch

/** Leaves room for more restores than a JSON number can tell apart from others, 53 bits in all. */
private const val EPOCH_BITS = 32
