package org.persimmonrelay.membership

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.Region
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** When a node's periodic work is next due; the first times are spread so that nodes don't act in step. */
internal class SwimSchedule(private val settings: SwimSettings, private val random: Random, now: Moment) {
    val probe = Periodic(settings.probePeriod, first(settings.probePeriod, now))
    val sync = Periodic(settings.syncPeriod, first(settings.hotSyncPeriod, now))
    val regionSync = Periodic(settings.regionSyncPeriod, first(settings.regionSyncPeriod, now))
    val reconnect = Periodic(settings.reconnectPeriod, first(settings.reconnectPeriod, now))
    val seeds = Periodic(settings.seedPeriod, now + settings.lonelySeedPeriod, settings.lonelySeedPeriod)
    private var order = ArrayDeque<NodeId>()

    /** The next of [candidates] in a shuffled round, so that each is probed once a round. */
    fun nextTarget(candidates: Set<NodeId>): NodeId? {
        while (order.isNotEmpty()) {
            val next = order.removeFirst()
            if (next in candidates) return next
        }
        order = ArrayDeque(candidates.shuffled(random))
        return order.removeFirstOrNull()
    }

    fun hurrySync(now: Moment) = sync.hurry(now + settings.hotSyncPeriod)

    private fun first(period: Duration, now: Moment) = now + period * random.nextDouble()
}

/** Work that is due once in [period], or once in [hurried] when there is a hurry. */
internal class Periodic(
    private val period: Duration,
    private var next: Moment,
    private val hurried: Duration = period,
) {
    private var last = next

    fun isDue(now: Moment, hurry: Boolean = false): Boolean {
        val due = if (hurry) minOf(next, last + hurried) else next
        if (now < due) return false
        last = now
        next = now + period
        return true
    }

    fun hurry(at: Moment) {
        next = minOf(next, at)
    }
}

/** Which other regions answer this node. */
internal class RegionContacts {
    private val lastAnswer = HashMap<Region, Moment>()
    private val silent = HashSet<Region>()

    /** Notes a comparison's end and gives the event when the region went silent or came back. */
    fun compared(region: Region, answered: Boolean, now: Moment): MembershipEvent? {
        val last = lastAnswer.getOrPut(region) { now }
        if (answered) {
            lastAnswer[region] = now
            return if (silent.remove(region)) MembershipEvent.REGION_BACK else null
        }
        if (now - last < SILENCE || !silent.add(region)) return null
        return MembershipEvent.REGION_SILENT
    }

    private companion object {
        val SILENCE = 10.seconds
    }
}
