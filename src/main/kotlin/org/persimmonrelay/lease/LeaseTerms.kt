package org.persimmonrelay.lease

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Durations of leases; the same on all nodes.
 *
 * The holder acts for [duration] from before a renewal was sent, less [sendMargin]. A candidate takes over after
 * [duration] + [tolerance] of silence, which has to cover how far clocks drift apart in that time. What a
 * process sent arrives within [messageLifetime] or never.
 * [failedReadRestartsWatch] may be false where a holder always stops by its own clock: then only how soon others take
 * over depends on it.
 */
public data class LeaseTerms(
    val duration: Duration = 10.seconds,
    val tolerance: Duration = 2.seconds,
    val sendMargin: Duration = 1.seconds,
    val renewEvery: Duration = 3.seconds,
    val retryEvery: Duration = 500.milliseconds,
    val checkEvery: Duration = 2.seconds,
    val messageLifetime: Duration = 5.seconds,
    val watchers: Int = 3,
    val takeoverStagger: Duration = 500.milliseconds,
    val slowCheckPerNode: Duration = 4.seconds,
    val failedReadRestartsWatch: Boolean = true,
) {
    init {
        require(renewEvery * 2 < duration) { "The renewal period must be below half the lease; shorten renewEvery." }
        require(sendMargin < duration - renewEvery) { "The send margin leaves no time to act; shorten sendMargin." }
    }
}
