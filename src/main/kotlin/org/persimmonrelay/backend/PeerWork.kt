package org.persimmonrelay.backend

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.NodeId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Work in flight at servers as last reported by other nodes. Reports older than [MAX_AGE] do not count. */
internal class PeerWork {
    private val reports = HashMap<NodeId, Report>()

    private class Report(val work: Map<ServerInstance, ServerWork>, val at: Moment)

    /** Replaces all that [node] reported before by [work]. */
    fun update(node: NodeId, work: List<ServerWork>, now: Moment) {
        if (work.isEmpty()) reports.remove(node) else reports[node] = Report(work.associateBy { it.instance }, now)
    }

    /** Requests of other nodes at [instance]. */
    fun running(instance: ServerInstance, now: Moment): Int = at(instance, now).sumOf { it.running }

    /** Prompt tokens of other nodes' requests at [instance] that have no first token yet. */
    fun tokensAhead(instance: ServerInstance, now: Moment): Int = at(instance, now).sumOf { it.tokensAhead }

    private fun at(instance: ServerInstance, now: Moment): List<ServerWork> =
        reports.values.filter { now - it.at < MAX_AGE }.mapNotNull { it.work[instance] }

    private companion object {
        val MAX_AGE: Duration = 1_500.milliseconds
    }
}
