package org.persimmonrelay.node

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.Region
import org.persimmonrelay.route.ServiceId
import org.persimmonrelay.scale.LoadHistory
import org.persimmonrelay.scale.ScalePlanner
import org.persimmonrelay.scale.ServerTargets
import kotlin.time.Duration.Companion.seconds

/**
 * What the holder of the scaling duty knows under the lease with the fencing token [token]. [isFirst] is true if no
 * node has held it before. Confined to the control thread.
 */
internal class ScaleTenure(val token: Long, isFirst: Boolean, regions: Map<FailureDomain, Region>) {
    val planner = ScalePlanner(regions)
    val targets = ServerTargets(regions, isFirst)
    val loads = LoadHistory()
    private val lastTargets = HashMap<ServiceId, Map<FailureDomain, Int>>()
    private var askedAt: Moment? = null

    /** True if the nodes are to be asked for the demand at [now]. */
    fun asksAt(now: Moment): Boolean {
        val isDue = askedAt?.let { now - it >= ASK_INTERVAL } ?: true
        if (isDue) askedAt = now
        return isDue
    }

    /** True if [targets] of [service] differ from those of the last call. */
    fun changes(service: ServiceId, targets: Map<FailureDomain, Int>): Boolean =
        lastTargets.put(service, targets) != targets

    private companion object {
        val ASK_INTERVAL = 1.seconds
    }
}
