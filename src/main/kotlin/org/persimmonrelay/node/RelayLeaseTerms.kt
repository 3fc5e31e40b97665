package org.persimmonrelay.node

import org.persimmonrelay.lease.LeaseTerms
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Lease terms for the duties of forwarding nodes. A lease lasts longer than [conflictWindow]: receivers treat two
 * changes of the holder within that time as a conflict between holders.
 *
 * An expired lease is sufficient evidence that the holder stopped: the holder stops by its own clock, which also
 * advances while the process is suspended, and what it sent before has timed out by then. A row that is unchanged
 * after a failed read was not renewed in the meantime either, so a failed read does not restart the watch.
 */
internal fun relayLeaseTerms(conflictWindow: Duration): LeaseTerms = LeaseTerms(
    duration = maxOf(conflictWindow, MIN_LEASE) + 500.milliseconds,
    tolerance = 500.milliseconds,
    sendMargin = 1_200.milliseconds,
    renewEvery = 1.seconds,
    retryEvery = 200.milliseconds,
    checkEvery = 1.seconds,
    messageLifetime = 200.milliseconds,
    watchers = 2,
    takeoverStagger = 200.milliseconds,
    failedReadRestartsWatch = false,
)

/** Long enough for a renewal, a retry and a send within one lease. */
private val MIN_LEASE = 3.seconds
