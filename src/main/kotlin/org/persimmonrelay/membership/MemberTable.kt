package org.persimmonrelay.membership

import com.google.common.hash.Hashing
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.Region
import kotlin.time.Duration

/** All records that this node holds, the latest of each member. */
internal class MemberTable {
    private val records = HashMap<NodeId, MemberRecord>()
    private val since = HashMap<NodeId, Moment>()

    val all: Collection<MemberRecord> get() = records.values

    /** Grows with each change. */
    var version = 0L
        private set

    operator fun get(node: NodeId): MemberRecord? = records[node]

    /** Takes [record] over when it is later than what is known; false when it is not. */
    fun merge(record: MemberRecord, now: Moment): Boolean {
        val known = records[record.node]
        if (known == null && !record.state.isPresent) return false
        if (known != null && !record.supersedes(known)) return false
        records[record.node] = record
        since[record.node] = now
        version++
        return true
    }

    /** Forgets members that are gone for longer than [retention]. */
    fun forget(retention: Duration, now: Moment) {
        if (!records.values.removeIf { !it.state.isPresent && now - since.getValue(it.node) > retention }) return
        version++
        since.keys.retainAll(records.keys)
    }

    /** How many members of each region can be called. */
    fun presentByRegion(): Map<Region, Int> =
        records.values.filter { it.state.isPresent }.groupingBy { it.region }.eachCount()

    /** Equal on two nodes that know the same of a region. Suspicion is not compared: it passes quickly. */
    fun hashes(): Map<Region, Long> = records.values
        .filter { it.state.isPresent }
        .groupBy { it.region }
        .mapValues { (_, members) -> hash(members) }

    /** All that is known of [region], suspects as alive. */
    fun recordsOf(region: Region): List<MemberRecord> = records.values.filter { it.region == region }.map(::settled)

    private fun settled(record: MemberRecord) =
        if (record.state == MemberState.SUSPECT) record.copy(state = MemberState.ALIVE) else record

    private fun hash(members: List<MemberRecord>): Long {
        val hasher = Hashing.murmur3_128().newHasher()
        members.sortedBy { it.node.value }.map(::settled).forEach {
            hasher.putUnencodedChars(it.node.value).putUnencodedChars(it.address.incarnation.value)
            hasher.putLong(it.generation).putInt(it.serial).putInt(it.state.ordinal)
        }
        return hasher.hash().asLong()
    }
}
