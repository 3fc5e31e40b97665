package org.persimmonrelay.membership

import com.google.common.hash.Hashing
import org.persimmonrelay.identity.Region
import org.persimmonrelay.identity.ServerId

/**
 * Highest-random-weight hashing: nodes with the same view pick the same members, and a change of members moves
 * few picks.
 */
public object Rendezvous {
    private val HASH = Hashing.murmur3_128()

    /** The [count] best of [candidates] for [key], best first. */
    public fun pick(key: String, candidates: Collection<Member>, count: Int): List<Member> = candidates
        .sortedWith(compareByDescending<Member> { weight(key, it) }.thenBy { it.address.node.value })
        .take(count)

    /** The best of [candidates] for [key], or null when there is none. */
    public fun best(key: String, candidates: Collection<Member>): Member? =
        candidates.maxWithOrNull(compareBy<Member> { weight(key, it) }.thenByDescending { it.address.node.value })

    private fun weight(key: String, member: Member): Long =
        HASH.newHasher().putUnencodedChars(key).putChar('\u0000').putUnencodedChars(member.address.node.value)
            .hash()
            .asLong()
}

/** Which node reads an engine's load and cache events and spreads their summary. */
public object CollectorAssignment {
    /** The collector of [server] in [region] among [members], or null when the region has no serving node. */
    public fun collectorOf(server: ServerId, region: Region, members: List<Member>): Member? =
        Rendezvous.best(server.value, members.filter { it.region == region && it.state.isServing })
}
