package org.persimmonrelay.lease

import org.persimmonrelay.clock.Moment

/**
 * This process's hold of [duty] under [epoch], [since] a moment of its own clock.
 *
 * While [unresolved] is not empty, orders of those earlier holders may still be under way, and nothing may be sent
 * to a receiver that does not check the epoch.
 */
public data class HeldLease(val duty: Duty, val epoch: Long, val unresolved: List<HolderId>, val since: Moment) {
    /** True when no order of an earlier holder can still arrive. */
    public val isExclusive: Boolean
        get() = unresolved.isEmpty()
}
