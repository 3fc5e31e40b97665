package org.persimmonrelay.catalog

import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.membership.Member
import org.persimmonrelay.membership.MemberState
import kotlin.random.Random

/**
 * Chooses which member to probe next. Each round contains every member once that is not considered failed, in a new
 * random order, so that a change that only one node has is found within a round. Every eighth probe goes to a failed
 * member.
 */
internal class PeerProbeOrder(private val random: Random) {
    private val round = ArrayDeque<NodeId>()
    private var probes = 0

    fun next(members: List<Member>): Member? {
        val (failed, alive) = members.partition { it.state == MemberState.FAILED }
        val probeFailed = alive.isEmpty() || ++probes % PROBES_PER_FAILED_MEMBER == 0
        return if (probeFailed && failed.isNotEmpty()) failed.random(random) else nextOf(alive)
    }

    private fun nextOf(alive: List<Member>): Member? {
        if (alive.isEmpty()) return null
        val byNode = alive.associateBy { it.address.node }
        while (round.isNotEmpty()) byNode[round.removeFirst()]?.let { return it }
        round += byNode.keys.shuffled(random)
        return byNode[round.removeFirst()]
    }

    private companion object {
        const val PROBES_PER_FAILED_MEMBER = 8
    }
}
