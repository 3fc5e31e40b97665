/*
 * Fleet size over days, in steps of a minute. Ten days of single steps of engines would take too long and add
 * nothing: at this scale an engine is a rate. Answers stay within bounds up to a share of an engine's full work,
 * so the work answered well in a minute is the least of the load and that share of the servers that are ready.
 */
package org.persimmonrelay.experiment

import org.persimmonrelay.fleet.plan.FleetOrder
import org.persimmonrelay.fleet.plan.FleetPlanner
import org.persimmonrelay.fleet.plan.FleetSizeSettings
import org.persimmonrelay.fleet.plan.PeakForecast
import org.persimmonrelay.fleet.plan.PoolServer
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.platform.PriceClass

/** What a run over days gave; work in engine minutes, cost in minutes of an ordinary server. */
internal class FleetResult(
    val asked: Double,
    val good: Double,
    val serverMinutes: Double,
    val cheapMinutes: Double,
    val cost: Double,
    val unsafeMinutes: Int,
    val servers: List<ChartPoint>,
    val load: List<ChartPoint>,
)

/** Runs the planner of production over [loads], one per minute. [cheapAt] tells when cheap servers can be had. */
internal class FleetRun(
    private val loads: DoubleArray,
    private val settings: FleetSizeSettings,
    private val cheapAt: (Int) -> Boolean = { true },
) {
    private class Server(val seen: PoolServer, val readyAt: Int)

    private val domains = List(DOMAINS) { FailureDomain("domain-$it") }
    private val planner = FleetPlanner(settings, domains)
    private val fleet = ArrayList<Server>()
    private var ordered = 0
    private var good = 0.0
    private var serverMinutes = 0
    private var cheapMinutes = 0
    private var unsafe = 0

    fun run(): FleetResult {
        val first = (loads[0] / settings.busyShare).toInt() + 1
        repeat(first) { add(FleetOrder.Start(domains[it % DOMAINS], PriceClass.ORDINARY), -COLD_MINUTES) }
        val points = loads.indices.map { minute -> ChartPoint(minute / MINUTES_PER_HOUR, step(minute)) }
        return FleetResult(
            asked = loads.sum(),
            good = good,
            serverMinutes = serverMinutes.toDouble(),
            cheapMinutes = cheapMinutes.toDouble(),
            cost = serverMinutes - cheapMinutes * (1 - settings.cheapPrice),
            unsafeMinutes = unsafe,
            servers = points.filterIndexed { index, _ -> index % CHART_MINUTES == 0 },
            load = loads.indices.filter {
                it % CHART_MINUTES == 0
            }.map { ChartPoint(it / MINUTES_PER_HOUR, loads[it]) },
        )
    }

    /** One minute; answers the count of servers paid for. */
    private fun step(minute: Int): Double {
        if (!cheapAt(minute)) fleet.removeIf { it.seen.price == PriceClass.CHEAP }
        val ready = fleet.count { it.readyAt <= minute }
        good += minOf(loads[minute], ready * settings.fullShare)
        serverMinutes += fleet.size
        cheapMinutes += fleet.count { it.seen.price == PriceClass.CHEAP }
        if (!survivesLoss(minute)) unsafe++
        if (minute > 0 &&
            minute % BIN_MINUTES == 0
        ) {
            planner.observe(loads.slice(minute - BIN_MINUTES until minute).average())
        }
        if (minute % PLAN_MINUTES == 0) plan(minute)
        return fleet.size.toDouble()
    }

    private fun plan(minute: Int) {
        val now = momentAt(minute * SECONDS_PER_MINUTE)
        planner.plan(fleet.map { it.seen }, loads[minute], now).forEach { order ->
            when (order) {
                is FleetOrder.Start -> start(order, minute)
                is FleetOrder.Stop -> fleet.removeIf { it.seen.server == order.server }
            }
        }
    }

    private fun start(order: FleetOrder.Start, minute: Int) {
        if (order.price == PriceClass.CHEAP && !cheapAt(minute)) {
            planner.cheapDeclined(order.domain, momentAt(minute * SECONDS_PER_MINUTE))
        } else {
            add(order, minute)
        }
    }

    private fun add(order: FleetOrder.Start, minute: Int) {
        val server = PoolServer(ServerId("server-${ordered++}"), order.domain, order.price)
        fleet += Server(server, minute + COLD_MINUTES)
    }

    private fun survivesLoss(minute: Int): Boolean {
        val ready = fleet.filter { it.readyAt <= minute }
        val lost = domains.maxOf { domain ->
            ready.count { it.seen.domain == domain && it.seen.price == PriceClass.CHEAP }
        }
        return lost == 0 || ready.size - lost >= loads[minute] / settings.carryShare - 1
    }

    internal companion object {
        const val DOMAINS = 3
        const val SECONDS_PER_MINUTE = 60.0
        const val MINUTES_PER_HOUR = 60.0
        private const val COLD_MINUTES = 4
        private const val PLAN_MINUTES = 1
        private const val BIN_MINUTES = (PeakForecast.BIN_SECONDS / SECONDS_PER_MINUTE).toInt()
        private const val CHART_MINUTES = 60
    }
}
