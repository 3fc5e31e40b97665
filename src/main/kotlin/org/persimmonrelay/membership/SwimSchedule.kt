package org.persimmonrelay.membership

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.Region
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Due times of a node's periodic work. The first times are random so that nodes don't act at the same time. */
internal class SwimSchedule(private val settings: SwimSettings, private val random: Random, now: Moment) {
    val probe = Periodic(settings.probePeriod, randomFirst(settings.probePeriod, now))
    val sync = Periodic(settings.syncPeriod, randomFirst(settings.fastSyncPeriod, now))
    val regionSync = Periodic(settings.regionSyncPeriod, randomFirst(settings.regionSyncPeriod, now))
    val reconnect = Periodic(settings.reconnectPeriod, randomFirst(settings.reconnectPeriod, now))
    val seeds = Periodic(settings.seedPeriod, now + settings.isolatedSeedPeriod, settings.isolatedSeedPeriod)
    private var probeOrder = ArrayDeque<NodeId>()

    /** The next probe target in a shuffled round over [candidates], or null when there are none. */
    fun nextTarget(candidates: Set<NodeId>): NodeId? {
        while (probeOrder.isNotEmpty()) {
            val next = probeOrder.removeFirst()
            if (next in candidates) return next
        }
        probeOrder = ArrayDeque(candidates.shuffled(random))
        return probeOrder.removeFirstOrNull()
    }

    fun accelerateSync(now: Moment) = sync.moveForward(now + settings.fastSyncPeriod)

    private fun randomFirst(period: Duration, now: Moment) = now + period * random.nextDouble()
}

/** Due time of work that runs every [period], or every [shortPeriod] while the caller asks for that. */
internal class Periodic(
    private val period: Duration,
    private var next: Moment,
    private val shortPeriod: Duration = period,
) {
    private var last = next

    fun isDue(now: Moment, useShortPeriod: Boolean = false): Boolean {
        val due = if (useShortPeriod) minOf(next, last + shortPeriod) else next
        if (now < due) return false
        last = now
        next = now + period
        return true
    }

    fun moveForward(at: Moment) {
        next = minOf(next, at)
    }
}

/** Tracks which other regions answer this node. */
internal class RegionReachability {
    private val lastAnswer = HashMap<Region, Moment>()
    private val unreachable = HashSet<Region>()

    /** Records the result of a comparison. Returns the event to record when the region became (un)reachable. */
    fun onCompared(region: Region, answered: Boolean, now: Moment): MembershipEvent? {
        val last = lastAnswer.getOrPut(region) { now }
        if (answered) {
            lastAnswer[region] = now
            return if (unreachable.remove(region)) MembershipEvent.REGION_BACK else null
        }
        if (now - last < UNREACHABLE_AFTER || !unreachable.add(region)) return null
        return MembershipEvent.REGION_SILENT
    }

    private companion object {
        val UNREACHABLE_AFTER = 10.seconds
    }
}
