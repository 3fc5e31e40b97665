package org.persimmonrelay.node

import org.persimmonrelay.lease.LeaseTerms
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Terms of the duties of forwarding nodes. A lease outlasts [quarrel], the time within which receivers take two
 * changes of hands for a quarrel.
 *
 * Silence beyond it is evidence enough that a holder stopped: it stops by its own clock, which counts suspensions, and
 * what it sent before has been given up by then. A row that is unchanged after a failed read was not renewed meanwhile
 * either, whatever the reason, so the watch goes on.
 */
internal fun relayLeaseTerms(quarrel: Duration): LeaseTerms = LeaseTerms(
    duration = maxOf(quarrel, SHORTEST_LEASE) + 500.milliseconds,
    tolerance = 500.milliseconds,
    sendMargin = 1_200.milliseconds,
    renewEvery = 1.seconds,
    retryEvery = 200.milliseconds,
    checkEvery = 600.milliseconds,
    messageLifetime = 200.milliseconds,
    watchers = 2,
    takeoverStagger = 200.milliseconds,
    failedReadRestartsWatch = false,
)

/** Leaves time for a renewal, a retry and a send within the lease. */
private val SHORTEST_LEASE = 3.seconds
