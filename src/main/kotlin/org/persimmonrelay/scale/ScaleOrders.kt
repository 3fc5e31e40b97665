/*
 * Orders the number of a service's servers in each failure domain, ahead of the load and at the least cost.
 */
package org.persimmonrelay.scale

import arrow.core.Either
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.platform.StoreUnavailable
import org.persimmonrelay.route.ServiceId

/** Servers of one price class that a service shall have in one failure domain. */
public data class ScaleOrder(val service: ServiceId, val domain: FailureDomain, val isSpot: Boolean, val servers: Int)

/** The platform's answer to a [ScaleOrder]. */
public enum class ScaleAnswer { ACCEPTED, NONE_AVAILABLE, REFUSED }

/** The interface that takes orders for servers. [epoch] is the fencing token of the duty that [holder] holds. */
public fun interface ScaleOrders {
    public suspend fun send(order: ScaleOrder, holder: NodeId, epoch: Long): Either<StoreUnavailable, ScaleAnswer>
}
