/*
 * Which share of a pool a node may use when the pool is full. Every node reports the demand of each workspace on it.
 * From that, all nodes compute the same weighted max-min shares: no workspace gets more than its demand, and the
 * remaining capacity is divided by weight. A node's share is the sum of the workspaces' shares that arrive through it.
 * So a flood of requests through one node, or through all, takes no capacity from workspaces whose demand is below
 * their share.
 */
package org.persimmonrelay.fairness

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.WorkspaceId
import kotlin.time.Duration.Companion.seconds

/** The last summary of each peer, and this node's share of the pool computed from them. Not thread-safe. */
internal class PoolShares {
    private class PeerSummary(val summary: ShareSummary, val at: Moment)

    private class Claim(val weight: Int, var demand: Double, var own: Double)

    private val peers = HashMap<NodeId, PeerSummary>()

    /** This node's share of the pool, 0 to 1; 1 until a summary of a peer arrives. */
    var share: Double = 1.0
        private set

    fun record(summary: ShareSummary, now: Moment) {
        peers[summary.node] = PeerSummary(summary, now)
    }

    /** Computes [share] from [own] and the recent summaries of peers. */
    fun update(own: ShareSummary, now: Moment) {
        peers.values.removeIf { now - it.at > MAX_AGE_SECONDS.seconds }
        if (peers.isEmpty()) {
            share = 1.0
            return
        }
        val claims = HashMap<WorkspaceId, Claim>()
        own.top.forEach { add(claims, it, own = true) }
        peers.values.forEach { peer -> peer.summary.top.forEach { add(claims, it, own = false) } }
        val rest = own.restDemand + peers.values.sumOf { it.summary.restDemand }
        val served = own.served + peers.values.sumOf { it.summary.served }
        share = shareOf(claims.values, own.restDemand, rest, served)
    }

    private fun add(claims: HashMap<WorkspaceId, Claim>, entry: ShareEntry, own: Boolean) {
        val claim = claims.getOrPut(entry.workspace) { Claim(entry.weight, 0.0, 0.0) }
        claim.demand += entry.demand
        if (own) claim.own += entry.demand
    }

    private fun shareOf(claims: Collection<Claim>, ownRest: Double, rest: Double, served: Double): Double {
        val level = level(claims, maxOf(0.0, served - rest))
        var all = rest
        var own = ownRest
        claims.filter { it.demand > 0 }.forEach { claim ->
            val granted = minOf(claim.demand, level * claim.weight)
            all += granted
            own += granted * claim.own / claim.demand
        }
        return if (all > 0) own / all else 1.0 / (peers.size + 1)
    }

    /** The share per unit of weight to which demand is limited, so that all shares together make up [capacity]. */
    private fun level(claims: Collection<Claim>, capacity: Double): Double {
        val byLevel = claims.filter { it.demand > 0 }.sortedBy { it.demand / it.weight }
        var left = capacity
        var weight = byLevel.sumOf { it.weight }
        for (claim in byLevel) {
            val level = left / weight
            if (claim.demand / claim.weight > level) return level
            left -= claim.demand
            weight -= claim.weight
        }
        return Double.MAX_VALUE
    }

    private companion object {
        const val MAX_AGE_SECONDS = 5
    }
}
