/*
 * SWIM with suspicion, as a plain state machine. Each node probes one member of its region a period, so a
 * node's messages don't grow with the system. A member that answers neither directly nor through helpers
 * becomes suspect; unless it refutes that with a higher serial in time, it is declared failed. The home
 * region decides about its members; other regions learn of it by comparing hashes of whole regions, so that
 * regions which lose each other don't declare each other's nodes failed.
 */
package org.persimmonrelay.membership

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.Region
import org.persimmonrelay.timeline.EventField
import org.persimmonrelay.timeline.with
import kotlin.random.Random
import kotlin.time.Duration

/** The membership of one node, [own] at its start. Not thread-safe. */
internal class SwimMachine(
    own: MemberRecord,
    private val settings: SwimSettings,
    private val random: Random,
    now: Moment,
) {
    var self: MemberRecord = own
        private set

    private val table = MemberTable()
    private val updates = UpdateQueue()
    private val probes = HashMap<Long, Probe>()
    private val suspicions = HashMap<NodeId, Suspicion>()
    private val schedule = SwimSchedule(settings, random, now)
    private val actions = mutableListOf<SwimAction>()
    private val regions = RegionContacts()
    private var lastTick = now
    private var probeCount = 0L
    private var quiet = false

    init {
        table.merge(own, now)
        updates.add(own)
    }

    /** Changes whenever [view] may have. */
    val version: Long get() = table.version

    val view: MembershipView get() = MembershipView(self.toMember(), table.all.map { it.toMember() })

    fun on(event: SwimEvent, now: Moment): List<SwimAction> {
        when (event) {
            is SwimEvent.Tick -> tick(now)
            is SwimEvent.Answered -> probes.remove(event.probe)
            is SwimEvent.Unanswered -> unanswered(event.probe, now)
            is SwimEvent.Heard -> heard(event, now)
            is SwimEvent.Compared -> compared(event, now)
            is SwimEvent.NameConfirmed -> renew(self.copy(generation = event.generation, serial = 0), now)
            is SwimEvent.NameLost -> loseName()
            is SwimEvent.Leave -> changeOwn(MemberState.LEAVING, now)
            is SwimEvent.Left -> changeOwn(MemberState.LEFT, now)
        }
        return actions.toList().also { actions.clear() }
    }

    /** Updates for the next message to [peer], who is always told when it is suspected. */
    fun updatesFor(peer: NodeId): List<MemberRecord> {
        val suspect = table[peer]?.takeIf { it.state == MemberState.SUSPECT || it.state == MemberState.FAILED }
        val taken = updates.take(settings.updateBytes, regionMembers().size)
        return if (suspect == null || suspect in taken) taken else taken + suspect
    }

    fun hashes(): Map<Region, Long> = table.hashes()

    fun recordsOf(region: Region): List<MemberRecord> = table.recordsOf(region)

    fun hasPeers(): Boolean = table.all.any { it.state.isPresent && it.node != self.node }

    private fun tick(now: Moment) {
        val gap = now - lastTick
        lastTick = now
        if (gap > settings.tick * PAUSE_TICKS) forgivePause(gap)
        if (quiet) return
        expireSuspicions(now)
        table.forget(settings.retention, now)
        if (schedule.probe.isDue(now)) probeNext()
        if (schedule.sync.isDue(now)) compareWithin()
        if (schedule.regionSync.isDue(now)) compareRegions()
        if (schedule.reconnect.isDue(now)) reconnect()
        if (schedule.seeds.isDue(now, hurry = !hasPeers())) actions += SwimAction.ReadSeeds
    }

    private fun forgivePause(gap: Duration) {
        probes.clear()
        suspicions.values.forEach { it.deadline += gap }
        record(MembershipEvent.PAUSE_NOTICED, "duration" with gap)
    }

    private fun expireSuspicions(now: Moment) {
        val expired = suspicions.filterValues { now >= it.deadline }.keys
        expired.mapNotNull { table[it] }.forEach { accept(it.copy(state = MemberState.FAILED), now) }
        suspicions.keys -= expired
    }

    private fun probeNext() {
        val candidates = probed().associateBy { it.node }
        val next = schedule.nextTarget(candidates.keys) ?: return
        probe(candidates.getValue(next))
        suspicions.filterValues { it.own }.keys.filter { it != next }.mapNotNull { candidates[it] }.forEach(::probe)
    }

    private fun probe(member: MemberRecord) {
        val id = probeCount++
        probes[id] = Probe(member.node, open = 1)
        actions += SwimAction.Ping(id, member.address)
    }

    private fun unanswered(id: Long, now: Moment) {
        val probe = probes[id] ?: return
        probe.open--
        if (probe.open > 0) return
        val target = table[probe.target]
        if (target == null || !target.state.isPresent) {
            probes.remove(id)
            return
        }
        if (!probe.indirect && askHelpers(id, probe, target)) return
        probes.remove(id)
        if (target.state != MemberState.SUSPECT) suspect(target, now)
    }

    private fun askHelpers(id: Long, probe: Probe, target: MemberRecord): Boolean {
        val helpers = helpersFor(target)
        probe.indirect = true
        probe.open = helpers.size
        helpers.forEach { actions += SwimAction.PingThrough(id, it.address, target.address) }
        return helpers.isNotEmpty()
    }

    /** Members of the target's region first: the others may be cut off from it. */
    private fun helpersFor(target: MemberRecord): List<MemberRecord> {
        val able = table.all.filter { it.state.isServing && it.state != MemberState.SUSPECT }
        val (near, far) = able.filter { it.node != target.node && it.node != self.node }.partition {
            it.region ==
                target.region
        }
        return (near.shuffled(random) + far.shuffled(random)).take(settings.helpers)
    }

    private fun suspect(target: MemberRecord, now: Moment) {
        suspicions[target.node] = Suspicion(now + settings.suspicion, own = true)
        accept(target.copy(state = MemberState.SUSPECT), now)
    }

    private fun heard(event: SwimEvent.Heard, now: Moment) {
        val news = event.records.filter { it.node != self.node }.count { accept(it, now, spread = !event.bulk) }
        event.records.filter { it.node == self.node }.forEach { heardOfSelf(it, now) }
        if (event.bulk && news > 0) schedule.hurrySync(now)
    }

    private fun heardOfSelf(record: MemberRecord, now: Moment) {
        if (quiet || self.state == MemberState.LEFT) return
        if (!record.sameLife(self)) {
            if (record.supersedes(self)) actions += SwimAction.ConfirmName(record.generation)
            return
        }
        if (record.serial < self.serial || record.state == self.state) return
        record(MembershipEvent.REFUTED, "believed" with record.state)
        renew(self.copy(serial = record.serial + 1), now)
    }

    private fun accept(record: MemberRecord, now: Moment, spread: Boolean = true): Boolean {
        val before = table[record.node]
        if (!table.merge(record, now)) return false
        if (spread) updates.add(record)
        watchSuspicion(record, now)
        if (before == null || before.state != record.state || !before.sameLife(record)) announce(record)
        return true
    }

    private fun watchSuspicion(record: MemberRecord, now: Moment) {
        if (record.state != MemberState.SUSPECT) {
            suspicions.remove(record.node)
            return
        }
        if (record.node !in suspicions && isProbed(record)) {
            suspicions[record.node] = Suspicion(now + settings.suspicion * OTHERS_PATIENCE, own = false)
        }
    }

    private fun announce(record: MemberRecord) {
        val event =
            when (record.state) {
                MemberState.ALIVE -> MembershipEvent.MEMBER_ALIVE
                MemberState.SUSPECT -> MembershipEvent.MEMBER_SUSPECT
                MemberState.LEAVING -> MembershipEvent.MEMBER_LEAVING
                MemberState.LEFT -> MembershipEvent.MEMBER_LEFT
                MemberState.FAILED -> MembershipEvent.MEMBER_FAILED
            }
        record(
            event,
            "member" with record.node,
            "incarnation" with record.address.incarnation,
            "region" with record.region,
        )
    }

    private fun compareWithin() {
        val partner = regionMembers().filter { it.node != self.node }.randomOrNull(random) ?: return
        actions += SwimAction.Compare(partner.address, partner.region)
    }

    private fun compareRegions() {
        val home = regionMembers().filter { it.state.isServing }.map { it.toMember() }
        val others = table.all.filter { it.state.isPresent && it.region != self.region }.groupBy { it.region }
        others.forEach { (region, members) ->
            val bridges = Rendezvous.pick("bridge/${region.value}", home, settings.bridges)
            if (bridges.none { it.address.node == self.node }) return@forEach
            actions += SwimAction.Compare(members.random(random).address, region)
        }
    }

    /** Failed members are tried again: they may live on the other side of a partition that has healed. */
    private fun reconnect() {
        val gone = table.all.filter { it.state == MemberState.FAILED && isProbed(it) }.randomOrNull(random) ?: return
        actions += SwimAction.Compare(gone.address, gone.region)
    }

    private fun compared(event: SwimEvent.Compared, now: Moment) {
        if (event.region == self.region) return
        regions.compared(event.region, event.answered, now)?.let { record(it, "region" with event.region) }
    }

    private fun changeOwn(state: MemberState, now: Moment) {
        renew(self.copy(state = state, serial = self.serial + 1), now)
        if (state == MemberState.LEFT) quiet = true
    }

    private fun renew(record: MemberRecord, now: Moment) {
        self = record
        table.merge(record, now)
        updates.add(record)
    }

    private fun loseName() {
        if (quiet) return
        quiet = true
        record(MembershipEvent.NAME_TAKEN, "node" with self.node)
    }

    private fun regionMembers() = table.all.filter { it.region == self.region && it.state.isPresent }

    private fun probed(): List<MemberRecord> {
        val watched = table.presentByRegion().filter { (region, size) -> isWatched(region, size) }.keys
        return table.all.filter { it.state.isPresent && it.node != self.node && it.region in watched }
    }

    private fun isProbed(record: MemberRecord): Boolean =
        isWatched(record.region, table.presentByRegion()[record.region] ?: 0)

    /** Small regions are watched from outside too: they could fail as a whole without a witness. */
    private fun isWatched(region: Region, size: Int) = region == self.region || size < settings.smallRegion

    private fun record(event: MembershipEvent, vararg fields: EventField) {
        actions += SwimAction.Record(event, fields.toList())
    }

    private companion object {
        const val PAUSE_TICKS = 4
        const val OTHERS_PATIENCE = 2
    }
}
