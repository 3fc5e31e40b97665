/*
 * Orders how many servers a service has in each failure domain, in advance of load and at the lowest cost.
 */
package org.persimmonrelay.scale

import arrow.core.Either
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.platform.StoreUnavailable
import org.persimmonrelay.route.ServiceId

/** The number of [servers] that a service is to have in one failure domain, spot or ordinary ones. */
public data class ScaleOrder(val service: ServiceId, val domain: FailureDomain, val isSpot: Boolean, val servers: Int)

/** The platform's answer to a [ScaleOrder]. */
public enum class ScaleAnswer { ACCEPTED, NONE_AVAILABLE, REFUSED }

/** The platform's interface for [ScaleOrder]s. [epoch] is the fencing token of the lease that [holder] holds. */
public fun interface ScaleOrders {
    public suspend fun send(order: ScaleOrder, holder: NodeId, epoch: Long): Either<StoreUnavailable, ScaleAnswer>
}
