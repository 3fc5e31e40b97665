package org.persimmonrelay.backend

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.NodeId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Work in flight at servers as last reported by other nodes. Reports older than [MAX_AGE] do not count. Sums are kept
 * for each server, so that a decision costs the same however many nodes report.
 */
internal class PeerWork {
    private val reports = HashMap<NodeId, Report>()
    private val sums = HashMap<ServerInstance, Sum>()

    /**
     * How many times the reported work stands for the work of all nodes; above 1 when only a sample of them reports
     * to this node.
     */
    var scale = 1.0

    private class Report(val work: List<ServerWork>, val at: Moment)

    private class Sum(var running: Int = 0, var tokensAhead: Int = 0)

    /** Replaces all that [node] reported before by [work]. */
    fun update(node: NodeId, work: List<ServerWork>, now: Moment) {
        remove(node)
        if (work.isEmpty()) return
        reports[node] = Report(work, now)
        work.forEach { add(it, 1) }
    }

    /** Drops the reports that are too old at [now]. */
    fun expire(now: Moment) {
        val outdated = reports.filterValues { now - it.at >= MAX_AGE }.keys.toList()
        outdated.forEach(::remove)
    }

    /** Requests of other nodes at [instance]. */
    fun running(instance: ServerInstance): Int = scaled(sums[instance]?.running)

    /** Prompt tokens of other nodes' requests at [instance] that have no first token yet. */
    fun tokensAhead(instance: ServerInstance): Int = scaled(sums[instance]?.tokensAhead)

    private fun scaled(reported: Int?): Int = ((reported ?: 0) * scale).toInt()

    private fun remove(node: NodeId) {
        reports.remove(node)?.work?.forEach { add(it, -1) }
    }

    private fun add(work: ServerWork, sign: Int) {
        val sum = sums.getOrPut(work.instance) { Sum() }
        sum.running += sign * work.running
        sum.tokensAhead += sign * work.tokensAhead
        if (sum.running == 0 && sum.tokensAhead == 0) sums.remove(work.instance)
    }

    private companion object {
        val MAX_AGE: Duration = 1_500.milliseconds
    }
}
