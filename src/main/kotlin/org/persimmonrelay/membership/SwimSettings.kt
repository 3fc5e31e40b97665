package org.persimmonrelay.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Periods and limits of the SWIM protocol. The defaults suit regions of up to about a hundred nodes. */
public data class SwimSettings(
    /** Time between two probes that this node sends. */
    val probePeriod: Duration = 1.seconds,
    /** Timeout of a direct probe, and of each probe that a helper sends. */
    val probeTimeout: Duration = 400.milliseconds,
    /** Number of helpers: members asked to probe a target that did not answer this node. */
    val helpers: Int = 3,
    /** Time that a suspect has to refute the suspicion before it is declared failed. */
    val suspicionTimeout: Duration = 5.seconds,
    /** Time between comparisons of member records with a random member of the region. */
    val syncPeriod: Duration = 5.seconds,
    /** Like [syncPeriod], while comparisons yield new records. */
    val fastSyncPeriod: Duration = 1.seconds,
    /** Time between comparisons of a bridge node with each region assigned to it. */
    val regionSyncPeriod: Duration = 2.seconds,
    /** Number of bridge nodes: nodes of a region that compare records with one given other region. */
    val bridgeNodes: Int = 2,
    /** Time between attempts to reach a member that was declared failed. */
    val reconnectPeriod: Duration = 10.seconds,
    /** Time for which records of failed and left members are kept. */
    val retention: Duration = 2.hours,
    /** Time between reads of the seeds in the table. */
    val seedPeriod: Duration = 10.minutes,
    /** Like [seedPeriod], while this node knows no other member. */
    val isolatedSeedPeriod: Duration = 10.seconds,
    /** Limit in bytes for the member records piggybacked on one message. */
    val maxUpdateBytes: Int = 800,
    /** Regions with fewer members than this are probed from other regions too. */
    val smallRegionSize: Int = 3,
) {
    /** Time between two [SwimEvent.Tick]s. */
    val tick: Duration get() = probePeriod / TICKS_PER_PROBE

    internal companion object {
        const val TICKS_PER_PROBE = 4
    }
}
