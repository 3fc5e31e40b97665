package org.persimmonrelay.backend

import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.Region
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Failure domain and region of this node, with the region of each known failure domain. */
public data class NodeLocation(val domain: FailureDomain, val region: Region, val regions: Map<FailureDomain, Region>) {
    /** Cost of sending a request to [other], as the saving in response time that would justify it. */
    public fun sendCost(other: FailureDomain): Duration = when {
        other == domain -> SAME_DOMAIN
        isSameRegion(other) -> SAME_REGION
        else -> OTHER_REGION
    }

    /** Cost of transferring an engine's KV cache to [other], on the same scale as [sendCost]. */
    public fun transferCost(other: FailureDomain): Duration = when {
        other == domain -> SAME_DOMAIN
        isSameRegion(other) -> SAME_REGION
        else -> OTHER_REGION_TRANSFER
    }

    /** True when [other] lies in this node's region. */
    public fun isSameRegion(other: FailureDomain): Boolean = regions[other] == region

    private companion object {
        val SAME_DOMAIN = 1.milliseconds
        val SAME_REGION = 8.milliseconds

        /** Traffic between regions is slow and billed by volume. */
        val OTHER_REGION = 80.milliseconds

        /** Links between regions are ten times slower for KV cache transfers. */
        val OTHER_REGION_TRANSFER = 150.milliseconds
    }
}
