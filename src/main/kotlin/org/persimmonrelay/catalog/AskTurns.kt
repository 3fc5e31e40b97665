package org.persimmonrelay.catalog

import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.membership.Member
import org.persimmonrelay.membership.MemberState
import kotlin.random.Random

/**
 * Whom to ask next: every member once in each round, in an order drawn anew for each, so that a change known to one
 * node alone is found within a round. Members that are thought to have failed have every eighth turn.
 */
internal class AskTurns(private val random: Random) {
    private val round = ArrayDeque<NodeId>()
    private var turn = 0

    fun next(members: List<Member>): Member? {
        val (failed, seen) = members.partition { it.state == MemberState.FAILED }
        val wantsFailed = seen.isEmpty() || ++turn % TURNS_PER_FAILED == 0
        return if (wantsFailed && failed.isNotEmpty()) failed.random(random) else nextOf(seen)
    }

    private fun nextOf(seen: List<Member>): Member? {
        if (seen.isEmpty()) return null
        val byNode = seen.associateBy { it.address.node }
        while (round.isNotEmpty()) byNode[round.removeFirst()]?.let { return it }
        round += byNode.keys.shuffled(random)
        return byNode[round.removeFirst()]
    }

    private companion object {
        const val TURNS_PER_FAILED = 8
    }
}
