package org.persimmonrelay.once

import kotlin.time.Duration

/** How an attempt to claim a key ended. */
internal sealed interface ClaimResult {
    /** The claim was stored for this node, in a row at [version]. */
    data class Won(val version: Long) : ClaimResult

    /** The key was claimed before, by [row] at [version]. */
    data class Taken(val row: ClaimRow, val version: Long) : ClaimResult

    /** The claim was certainly not stored. */
    data class NotStored(val message: String, val retryAfter: Duration) : ClaimResult

    /** The claim may have been stored and has to be released in the background. */
    data class Unknown(val message: String) : ClaimResult
}
