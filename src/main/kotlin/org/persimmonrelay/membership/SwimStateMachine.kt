/*
 * SWIM with suspicion, as a state machine without I/O. Each node probes one member of its region each period, so
 * the number of its messages does not grow with the system. A member that answers neither directly nor through
 * helpers becomes suspect. It is declared failed unless it refutes the suspicion with a higher serial in time. Only
 * nodes of a member's own region probe it, except in small regions. Other regions get the result by comparing hashes
 * of whole regions. Regions that lose their connection therefore don't declare each other's nodes failed.
 */
package org.persimmonrelay.membership

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.Region
import org.persimmonrelay.timeline.EventField
import org.persimmonrelay.timeline.with
import kotlin.random.Random
import kotlin.time.Duration

/** The membership state of one node. [own] is its record at the start. Not thread-safe. */
internal class SwimStateMachine(
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
    private val regions = RegionReachability()
    private var lastTick = now
    private var probeCount = 0L
    private var isStopped = false

    init {
        table.merge(own, now)
        updates.add(own)
    }

    /** Increases whenever [view] may have changed. */
    val version: Long get() = table.version

    val view: MembershipView get() = MembershipView(self.toMember(), table.all.map { it.toMember() })

    fun handle(event: SwimEvent, now: Moment): List<SwimAction> {
        when (event) {
            is SwimEvent.Tick -> tick(now)
            is SwimEvent.ProbeSucceeded -> probes.remove(event.probe)
            is SwimEvent.ProbeAttemptFailed -> onProbeAttemptFailed(event.probe, now)
            is SwimEvent.RecordsReceived -> onRecordsReceived(event, now)
            is SwimEvent.Compared -> onCompared(event, now)
            is SwimEvent.NameConfirmed -> replaceOwnRecord(self.copy(generation = event.generation, serial = 0), now)
            is SwimEvent.NameLost -> onNameLost()
            is SwimEvent.Leave -> changeOwnState(MemberState.LEAVING, now)
            is SwimEvent.LeaveCompleted -> changeOwnState(MemberState.LEFT, now)
        }
        return actions.toList().also { actions.clear() }
    }

    /** Records for the next message to [peer]; includes its own record if it is suspect or failed, so it can refute. */
    fun updatesFor(peer: NodeId): List<MemberRecord> {
        val suspect = table[peer]?.takeIf { it.state == MemberState.SUSPECT || it.state == MemberState.FAILED }
        val taken = updates.take(settings.maxUpdateBytes, regionMembers().size)
        return if (suspect == null || suspect in taken) taken else taken + suspect
    }

    fun hashes(): Map<Region, Long> = table.hashes()

    fun recordsOf(region: Region): List<MemberRecord> = table.recordsOf(region)

    fun hasPeers(): Boolean = table.all.any { it.state.isPresent && it.node != self.node }

    private fun tick(now: Moment) {
        val gap = now - lastTick
        lastTick = now
        if (gap > settings.tick * PAUSE_TICKS) onPause(gap)
        if (isStopped) return
        expireSuspicions(now)
        table.removeExpired(settings.retention, now)
        if (schedule.probe.isDue(now)) probeNext()
        if (schedule.sync.isDue(now)) compareWithinRegion()
        if (schedule.regionSync.isDue(now)) compareWithOtherRegions()
        if (schedule.reconnect.isDue(now)) reconnect()
        if (schedule.seeds.isDue(now, useShortPeriod = !hasPeers())) actions += SwimAction.ReadSeeds
    }

    private fun onPause(gap: Duration) {
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
        val candidates = probeCandidates().associateBy { it.node }
        val next = schedule.nextTarget(candidates.keys) ?: return
        probe(candidates.getValue(next))
        suspicions.filterValues { it.isLocal }.keys.filter { it != next }.mapNotNull { candidates[it] }.forEach(::probe)
    }

    private fun probe(member: MemberRecord) {
        val id = probeCount++
        probes[id] = Probe(member.node, open = 1)
        actions += SwimAction.Ping(id, member.address)
    }

    private fun onProbeAttemptFailed(id: Long, now: Moment) {
        val probe = probes[id] ?: return
        probe.open--
        if (probe.open > 0) return
        val target = table[probe.target]
        if (target == null || !target.state.isPresent) {
            probes.remove(id)
            return
        }
        if (!probe.isIndirect && probeThroughHelpers(id, probe, target)) return
        probes.remove(id)
        if (target.state != MemberState.SUSPECT) suspect(target, now)
    }

    private fun probeThroughHelpers(id: Long, probe: Probe, target: MemberRecord): Boolean {
        val helpers = selectHelpers(target)
        probe.isIndirect = true
        probe.open = helpers.size
        helpers.forEach { actions += SwimAction.PingVia(id, it.address, target.address) }
        return helpers.isNotEmpty()
    }

    /** Prefers members of the target's region, because other regions may be cut off from it. */
    private fun selectHelpers(target: MemberRecord): List<MemberRecord> {
        val candidates = table.all.filter { it.state.isServing && it.state != MemberState.SUSPECT }
        val (sameRegion, otherRegions) =
            candidates.filter { it.node != target.node && it.node != self.node }.partition {
                it.region ==
                    target.region
            }
        return (sameRegion.shuffled(random) + otherRegions.shuffled(random)).take(settings.helpers)
    }

    private fun suspect(target: MemberRecord, now: Moment) {
        suspicions[target.node] = Suspicion(now + settings.suspicionTimeout, isLocal = true)
        accept(target.copy(state = MemberState.SUSPECT), now)
    }

    private fun onRecordsReceived(event: SwimEvent.RecordsReceived, now: Moment) {
        val accepted = event.records.filter { it.node != self.node }.count { accept(it, now, piggyback = !event.bulk) }
        event.records.filter { it.node == self.node }.forEach { onOwnRecord(it, now) }
        if (event.bulk && accepted > 0) schedule.accelerateSync(now)
    }

    private fun onOwnRecord(record: MemberRecord, now: Moment) {
        if (isStopped || self.state == MemberState.LEFT) return
        if (!record.isSameIncarnation(self)) {
            if (record.supersedes(self)) actions += SwimAction.ConfirmName(record.generation)
            return
        }
        if (record.serial < self.serial || record.state == self.state) return
        record(MembershipEvent.REFUTED, "believed" with record.state)
        replaceOwnRecord(self.copy(serial = record.serial + 1), now)
    }

    private fun accept(record: MemberRecord, now: Moment, piggyback: Boolean = true): Boolean {
        val before = table[record.node]
        if (!table.merge(record, now)) return false
        if (piggyback) updates.add(record)
        updateSuspicion(record, now)
        if (before == null || before.state != record.state || !before.isSameIncarnation(record)) recordState(record)
        return true
    }

    private fun updateSuspicion(record: MemberRecord, now: Moment) {
        if (record.state != MemberState.SUSPECT) {
            suspicions.remove(record.node)
            return
        }
        if (record.node !in suspicions && isProbed(record)) {
            suspicions[record.node] =
                Suspicion(now + settings.suspicionTimeout * REMOTE_SUSPICION_FACTOR, isLocal = false)
        }
    }

    private fun recordState(record: MemberRecord) {
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

    private fun compareWithinRegion() {
        val partner = regionMembers().filter { it.node != self.node }.randomOrNull(random) ?: return
        actions += SwimAction.Compare(partner.address, partner.region)
    }

    private fun compareWithOtherRegions() {
        val localMembers = regionMembers().filter { it.state.isServing }.map { it.toMember() }
        val others = table.all.filter { it.state.isPresent && it.region != self.region }.groupBy { it.region }
        others.forEach { (region, members) ->
            val bridges = Rendezvous.pick("bridge/${region.value}", localMembers, settings.bridgeNodes)
            if (bridges.none { it.address.node == self.node }) return@forEach
            actions += SwimAction.Compare(members.random(random).address, region)
        }
    }

    /** Contacts a failed member again, because it may have been on the other side of a partition that has healed. */
    private fun reconnect() {
        val failed = table.all.filter { it.state == MemberState.FAILED && isProbed(it) }.randomOrNull(random) ?: return
        actions += SwimAction.Compare(failed.address, failed.region)
    }

    private fun onCompared(event: SwimEvent.Compared, now: Moment) {
        if (event.region == self.region) return
        regions.onCompared(event.region, event.answered, now)?.let { record(it, "region" with event.region) }
    }

    private fun changeOwnState(state: MemberState, now: Moment) {
        replaceOwnRecord(self.copy(state = state, serial = self.serial + 1), now)
        if (state == MemberState.LEFT) isStopped = true
    }

    private fun replaceOwnRecord(record: MemberRecord, now: Moment) {
        self = record
        table.merge(record, now)
        updates.add(record)
    }

    private fun onNameLost() {
        if (isStopped) return
        isStopped = true
        record(MembershipEvent.NAME_TAKEN, "node" with self.node)
    }

    private fun regionMembers() = table.all.filter { it.region == self.region && it.state.isPresent }

    private fun probeCandidates(): List<MemberRecord> {
        val probedRegions = table.presentByRegion().filter { (region, size) -> isProbedRegion(region, size) }.keys
        return table.all.filter { it.state.isPresent && it.node != self.node && it.region in probedRegions }
    }

    private fun isProbed(record: MemberRecord): Boolean =
        isProbedRegion(record.region, table.presentByRegion()[record.region] ?: 0)

    /** Small regions are also probed from other regions, which would otherwise not detect that all nodes failed. */
    private fun isProbedRegion(region: Region, size: Int) = region == self.region || size < settings.smallRegionSize

    private fun record(event: MembershipEvent, vararg fields: EventField) {
        actions += SwimAction.RecordEvent(event, fields.toList())
    }

    private companion object {
        /** A gap between ticks that is longer than this many tick periods counts as a pause of the process. */
        const val PAUSE_TICKS = 4

        /** A suspicion raised by another node times out later than one raised by this node. */
        const val REMOTE_SUSPICION_FACTOR = 2
    }
}
