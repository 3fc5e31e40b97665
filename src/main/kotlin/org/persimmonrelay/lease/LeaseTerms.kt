package org.persimmonrelay.lease

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Durations of leases; the same on all nodes.
 *
 * The holder may send for [duration] from the sending of its last renewal, less [sendMargin]. A candidate takes over
 * after [duration] + [tolerance] without a renewal; the tolerance has to cover how far clocks drift apart in that
 * time. A sent message arrives within [messageLifetime] or never. The [watchers] nodes with the lowest ranks read the
 * row every [checkEvery], others every [slowCheckPerNode] times the number of nodes. A lease without a holder is taken
 * after [takeoverStagger] times the rank.
 * [failedReadRestartsWatch] may be false where a holder always stops by its own clock; it then affects only how soon
 * another node takes over.
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
        require(renewEvery * 2 < duration) { "renewEvery must be less than half of duration; shorten it." }
        require(sendMargin < duration - renewEvery) {
            "sendMargin must be less than duration minus renewEvery; shorten it."
        }
    }
}
