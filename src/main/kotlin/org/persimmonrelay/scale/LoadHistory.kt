package org.persimmonrelay.scale

import org.persimmonrelay.backend.ServiceDemand
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.route.ServiceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * The demand on all services that [node] in [domain] has counted since it started as [incarnation], [uptime] ago.
 */
public data class NodeDemand(
    val node: NodeId,
    val incarnation: Incarnation,
    val domain: FailureDomain,
    val uptime: Duration,
    val services: List<ServiceDemand>,
)

/**
 * Computes the load on services from the demand that nodes report. Reports are totals, so that a lost one only makes
 * the next cover a longer time. Not thread-safe.
 */
public class LoadHistory {
    private val nodes = HashMap<NodeId, ArrayDeque<HeardDemand>>()

    private data class HeardDemand(val demand: NodeDemand, val at: Moment)

    /** [demand] was heard at [now]. */
    public fun record(demand: NodeDemand, now: Moment) {
        val heard = nodes.getOrPut(demand.node) { ArrayDeque() }
        val latest = heard.lastOrNull()?.demand
        val restarted = latest != null && latest.incarnation != demand.incarnation
        if (restarted) heard.clear()
        if (latest != null && !restarted && latest.uptime >= demand.uptime) return
        heard.addLast(HeardDemand(demand, now))
        while (heard.size > 2 && heard.last().demand.uptime - heard[1].demand.uptime >= WINDOW) heard.removeFirst()
    }

    /** The load on [service] at [now], by the failure domain of the nodes that its callers use. */
    public fun load(service: ServiceId, now: Moment): Map<FailureDomain, ServiceLoad> {
        nodes.values.removeIf { now - it.last().at > SILENCE }
        return nodes.values.groupBy({ it.last().demand.domain }) { load(service, it) }
            .mapValues { (_, loads) -> loads.fold(ServiceLoad(), ServiceLoad::plus) }
    }

    /** Number of nodes whose reports count. */
    public val nodesHeard: Int
        get() = nodes.size

    private fun load(service: ServiceId, heard: ArrayDeque<HeardDemand>): ServiceLoad {
        val first = heard.first().demand
        val last = heard.last().demand
        val millis = (last.uptime - first.uptime).toDouble(DurationUnit.MILLISECONDS)
        if (millis <= 0) return ServiceLoad()
        val before = first.of(service)
        val after = last.of(service)
        return ServiceLoad(
            (after.prefillMillis - before.prefillMillis).coerceAtLeast(0.0) / millis,
            (after.slotMillis - before.slotMillis).coerceAtLeast(0.0) / millis,
        )
    }

    private fun NodeDemand.of(service: ServiceId) =
        services.firstOrNull { it.service == service } ?: ServiceDemand(service)

    private companion object {
        /** Long enough that a few large prompts do not look like a rise of the load. */
        val WINDOW = 3.seconds
        val SILENCE = 5.seconds
    }
}
