package org.persimmonrelay.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Periods and bounds of membership; the defaults suit regions of up to about a hundred nodes. */
public data class SwimSettings(
    /** Time between two probes of this node. */
    val probePeriod: Duration = 1.seconds,
    /** Time for a direct answer, and again for those asked to probe in this node's place. */
    val probeTimeout: Duration = 400.milliseconds,
    /** Members asked to probe in this node's place. */
    val helpers: Int = 3,
    /** Time that a suspect has for its refutation. */
    val suspicion: Duration = 5.seconds,
    /** Time between comparisons with a random member of the region. */
    val syncPeriod: Duration = 5.seconds,
    /** The same while comparisons bring news. */
    val hotSyncPeriod: Duration = 1.seconds,
    /** Time between comparisons with each other region, by this region's nodes chosen for it. */
    val regionSyncPeriod: Duration = 2.seconds,
    /** Nodes of a region that speak with one other region. */
    val bridges: Int = 2,
    /** Time between attempts to reach a member that was declared failed. */
    val reconnectPeriod: Duration = 10.seconds,
    /** Time that failed and left members are remembered. */
    val retention: Duration = 2.hours,
    /** Time between reads of the seeds. */
    val seedPeriod: Duration = 10.minutes,
    /** The same while this node knows no other. */
    val lonelySeedPeriod: Duration = 10.seconds,
    /** Bytes of updates on one message. */
    val updateBytes: Int = 800,
    /** Regions with fewer members than this are probed from other regions too. */
    val smallRegion: Int = 3,
) {
    /** Time between two calls of the state machine. */
    val tick: Duration get() = probePeriod / TICKS_PER_PROBE

    internal companion object {
        const val TICKS_PER_PROBE = 4
    }
}
