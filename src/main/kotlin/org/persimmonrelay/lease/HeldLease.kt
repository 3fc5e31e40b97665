package org.persimmonrelay.lease

import org.persimmonrelay.clock.Moment

/**
 * The lease of [duty] that this process holds. [epoch] is its fencing token, [acquiredAt] is on this process's clock.
 *
 * While [unresolved] is not empty, messages of those earlier holders may still arrive, and nothing may be sent to a
 * receiver that does not check the epoch.
 */
public data class HeldLease(val duty: Duty, val epoch: Long, val unresolved: List<HolderId>, val acquiredAt: Moment) {
    /** True when no order of an earlier holder can still arrive. */
    public val isExclusive: Boolean
        get() = unresolved.isEmpty()
}
