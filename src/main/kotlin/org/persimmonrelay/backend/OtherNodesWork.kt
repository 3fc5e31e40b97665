package org.persimmonrelay.backend

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.NodeId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What other nodes told of their work at servers. What is older than [TRUST] does not count. */
internal class OtherNodesWork {
    private val told = HashMap<NodeId, Told>()

    private class Told(val work: Map<ServerInstance, ServerWork>, val at: Moment)

    /** The node [node] has [work] under way, and no other. */
    fun told(node: NodeId, work: List<ServerWork>, now: Moment) {
        if (work.isEmpty()) told.remove(node) else told[node] = Told(work.associateBy { it.instance }, now)
    }

    /** Requests of other nodes at [instance]. */
    fun running(instance: ServerInstance, now: Moment): Int = at(instance, now).sumOf { it.running }

    /** Prompt tokens of other nodes' requests at [instance] that have brought no first token yet. */
    fun tokensAhead(instance: ServerInstance, now: Moment): Int = at(instance, now).sumOf { it.tokensAhead }

    private fun at(instance: ServerInstance, now: Moment): List<ServerWork> =
        told.values.filter { now - it.at < TRUST }.mapNotNull { it.work[instance] }

    private companion object {
        val TRUST: Duration = 1_500.milliseconds
    }
}
