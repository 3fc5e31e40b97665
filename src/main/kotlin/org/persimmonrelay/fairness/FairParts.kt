/*
 * Which part of a pool a node may use when the pool is full. Every node tells what each workspace asks of it.
 * From that all nodes work out the same weighted max-min shares: no workspace gets more than it asks for, and
 * what is left is divided by weight. A node's part is the sum of the shares that arrive through it. So a flood
 * through one node, or through all, takes nothing from those who ask for less than their share.
 */
package org.persimmonrelay.fairness

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.WorkspaceId
import kotlin.time.Duration.Companion.seconds

/** The last summaries of all nodes, and this node's part by them. Not thread-safe. */
internal class FairParts {
    private class Told(val summary: ShareSummary, val at: Moment)

    private class Claim(val weight: Int, var demand: Double, var own: Double)

    private val told = HashMap<NodeId, Told>()

    /** This node's part of the pool, 0 to 1; 1 until peers are heard. */
    var part: Double = 1.0
        private set

    fun told(summary: ShareSummary, now: Moment) {
        told[summary.node] = Told(summary, now)
    }

    /** Works the part out anew from [own] and what peers told lately. */
    fun update(own: ShareSummary, now: Moment) {
        told.values.removeIf { now - it.at > FORGET_SECONDS.seconds }
        if (told.isEmpty()) {
            part = 1.0
            return
        }
        val claims = HashMap<WorkspaceId, Claim>()
        own.top.forEach { add(claims, it, own = true) }
        told.values.forEach { peer -> peer.summary.top.forEach { add(claims, it, own = false) } }
        val rest = own.restDemand + told.values.sumOf { it.summary.restDemand }
        val served = own.served + told.values.sumOf { it.summary.served }
        part = partOf(claims.values, own.restDemand, rest, served)
    }

    private fun add(claims: HashMap<WorkspaceId, Claim>, entry: ShareEntry, own: Boolean) {
        val claim = claims.getOrPut(entry.workspace) { Claim(entry.weight, 0.0, 0.0) }
        claim.demand += entry.demand
        if (own) claim.own += entry.demand
    }

    private fun partOf(claims: Collection<Claim>, ownRest: Double, rest: Double, served: Double): Double {
        val level = level(claims, maxOf(0.0, served - rest))
        var all = rest
        var own = ownRest
        claims.filter { it.demand > 0 }.forEach { claim ->
            val share = minOf(claim.demand, level * claim.weight)
            all += share
            own += share * claim.own / claim.demand
        }
        return if (all > 0) own / all else 1.0 / (told.size + 1)
    }

    /** The share per unit of weight beyond which demand is cut, so that all shares together make [capacity]. */
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
        const val FORGET_SECONDS = 5
    }
}
