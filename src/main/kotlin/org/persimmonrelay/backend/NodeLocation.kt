package org.persimmonrelay.backend

import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.Region
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Where this node runs, with the region of each known failure domain. */
public data class NodeLocation(val domain: FailureDomain, val region: Region, val regions: Map<FailureDomain, Region>) {
    /** What it costs to send a request to [other], as the time for which it would be worth while. */
    public fun distance(other: FailureDomain): Duration = when {
        other == domain -> SAME_DOMAIN
        isSameRegion(other) -> SAME_REGION
        else -> OTHER_REGION
    }

    /** The same for moving an engine's memory of a prompt to [other]. */
    public fun moveDistance(other: FailureDomain): Duration = when {
        other == domain -> SAME_DOMAIN
        isSameRegion(other) -> SAME_REGION
        else -> OTHER_REGION_MOVE
    }

    /** True when [other] lies in this node's region. */
    public fun isSameRegion(other: FailureDomain): Boolean = regions[other] == region

    private companion object {
        val SAME_DOMAIN = 1.milliseconds
        val SAME_REGION = 8.milliseconds

        /** Traffic between regions is slow and billed by volume. */
        val OTHER_REGION = 80.milliseconds

        /** Links between regions are ten times slower for an engine's memory. */
        val OTHER_REGION_MOVE = 150.milliseconds
    }
}
