package org.persimmonrelay.fleet

import org.persimmonrelay.lease.HolderId
import kotlin.time.Duration

/** How an attempt at a change ended. */
public sealed interface ServerChangeResult {
    /** The receiver has done it, by its own word. */
    public data object Done : ServerChangeResult

    /** The platform declined, or the engine never got there: nothing is under way. */
    public data class Declined(val message: String) : ServerChangeResult

    /** Nothing was ordered; try again after [retryAfter]. */
    public data class RetryLater(val message: String, val retryAfter: Duration) : ServerChangeResult

    /** This node is not in charge of the failure domain. */
    public data object NotLeaseHolder : ServerChangeResult

    /** Nothing was ordered: orders of [earlier] holders may still be under way to a receiver that obeys any order. */
    public data class HeldBack(val earlier: List<HolderId>) : ServerChangeResult

    /** An order is under way, its end not known yet; it is settled before anything else is ordered. */
    public data class Unsettled(val message: String) : ServerChangeResult
}
