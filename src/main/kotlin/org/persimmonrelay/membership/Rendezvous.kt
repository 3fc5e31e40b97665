package org.persimmonrelay.membership

import com.google.common.hash.Hashing
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.Region
import org.persimmonrelay.identity.ServerId

/**
 * Rendezvous (highest random weight) hashing. Nodes with the same view pick the same members, and a change of the
 * members changes few picks.
 */
public object Rendezvous {
    private val HASH = Hashing.murmur3_128()

    /** The [count] best of [candidates] for [key], best first. */
    public fun pick(key: String, candidates: Collection<Member>, count: Int): List<Member> =
        candidates.map { Weighted(it, weight(key, it)) }.sortedWith(ORDER).take(count).map { it.member }

    /** The best of [candidates] for [key], or null when there are none. */
    public fun best(key: String, candidates: Collection<Member>): Member? =
        candidates.map { Weighted(it, weight(key, it)) }.minWithOrNull(ORDER)?.member

    /** The [count] best of [nodes] for [key], best first. */
    public fun pickNodes(key: String, nodes: Collection<NodeId>, count: Int): List<NodeId> {
        if (count >= nodes.size) return nodes.toList()
        // Weights are computed once: a hash in the comparator would run many times for each node.
        return nodes.map { it to weight(key, it) }
            .sortedWith(compareByDescending<Pair<NodeId, Long>> { it.second }.thenBy { it.first.value })
            .take(count.coerceAtLeast(0))
            .map { it.first }
    }

    private fun weight(key: String, member: Member): Long = weight(key, member.address.node)

    private fun weight(key: String, node: NodeId): Long =
        HASH.hashString("$key\u0000${node.value}", Charsets.UTF_8).asLong()

    private class Weighted(val member: Member, val weight: Long)

    private val ORDER = compareByDescending<Weighted> { it.weight }.thenBy { it.member.address.node.value }
}

/** Assigns to each engine the node that collects its load and cache events and publishes their summary. */
public object CollectorAssignment {
    /** The collector of [server] in [region] among [members], or null when the region has no serving node. */
    public fun collectorOf(server: ServerId, region: Region, members: List<Member>): Member? =
        Rendezvous.best(server.value, members.filter { it.region == region && it.state.isServing })
}
