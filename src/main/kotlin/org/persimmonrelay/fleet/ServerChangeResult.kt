package org.persimmonrelay.fleet

import org.persimmonrelay.lease.HolderId
import kotlin.time.Duration

/** Result of one call of [FleetManager.change]. */
public sealed interface ServerChangeResult {
    /** The receiver reported the change as done. */
    public data object Done : ServerChangeResult

    /** The platform declined, or the engine did not complete the change in time or is gone; no order is in progress. */
    public data class Declined(val message: String) : ServerChangeResult

    /** The change was not ordered; try again after [retryAfter]. */
    public data class RetryLater(val message: String, val retryAfter: Duration) : ServerChangeResult

    /** This node does not hold the fleet lease of the failure domain. */
    public data object NotLeaseHolder : ServerChangeResult

    /** Nothing was ordered: orders of [earlier] holders may still arrive at a receiver that does not check epochs. */
    public data class HeldBack(val earlier: List<HolderId>) : ServerChangeResult

    /** The outcome of an order is not known yet; it is settled before anything else is ordered. */
    public data class Unsettled(val message: String) : ServerChangeResult
}
