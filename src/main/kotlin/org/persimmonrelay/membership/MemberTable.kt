package org.persimmonrelay.membership

import com.google.common.hash.Hashing
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.Region
import kotlin.time.Duration

/** The latest record of each member that this node knows. */
internal class MemberTable {
    private val records = HashMap<NodeId, MemberRecord>()
    private val changedAt = HashMap<NodeId, Moment>()

    val all: Collection<MemberRecord> get() = records.values

    /** Increases with each change. */
    var version = 0L
        private set

    operator fun get(node: NodeId): MemberRecord? = records[node]

    /** Stores [record] if it supersedes the known one. Returns whether it was stored. */
    fun merge(record: MemberRecord, now: Moment): Boolean {
        val known = records[record.node]
        if (known == null && !record.state.isPresent) return false
        if (known != null && !record.supersedes(known)) return false
        records[record.node] = record
        changedAt[record.node] = now
        version++
        return true
    }

    /** Removes members that failed or left more than [retention] ago. */
    fun removeExpired(retention: Duration, now: Moment) {
        if (!records.values.removeIf { !it.state.isPresent && now - changedAt.getValue(it.node) > retention }) return
        version++
        changedAt.keys.retainAll(records.keys)
    }

    /** Number of members of each region that can be called. */
    fun presentByRegion(): Map<Region, Int> =
        records.values.filter { it.state.isPresent }.groupingBy { it.region }.eachCount()

    /** Hash of the records of each region. Suspects are hashed as alive because suspicion changes quickly. */
    fun hashes(): Map<Region, Long> = records.values
        .filter { it.state.isPresent }
        .groupBy { it.region }
        .mapValues { (_, members) -> hash(members) }

    /** All records of [region]; suspects are returned as alive. */
    fun recordsOf(region: Region): List<MemberRecord> =
        records.values.filter { it.region == region }.map(::withoutSuspicion)

    private fun withoutSuspicion(record: MemberRecord) =
        if (record.state == MemberState.SUSPECT) record.copy(state = MemberState.ALIVE) else record

    private fun hash(members: List<MemberRecord>): Long {
        val hasher = Hashing.murmur3_128().newHasher()
        members.sortedBy { it.node.value }.map(::withoutSuspicion).forEach {
            hasher.putUnencodedChars(it.node.value).putUnencodedChars(it.address.incarnation.value)
            hasher.putLong(it.generation).putInt(it.serial).putInt(it.state.ordinal)
        }
        return hasher.hash().asLong()
    }
}
