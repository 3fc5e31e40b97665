/*
 * Simulates the fleet size over several days in steps of one minute. Simulating each engine step for ten days would
 * take too long and add nothing: at this scale an engine is modelled as a constant rate. Responses stay within their
 * latency bounds up to a certain share of an engine's capacity, so the good work of a minute is the smaller of the
 * load and that share of the capacity of the ready servers.
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

/**
 * Result of a run over several days. Work is in engine minutes, [cost] in minutes of an ordinary server.
 * [unsafeMinutes] counts the minutes in which the loss of one failure domain's spot servers would have left the
 * fleet too small.
 */
internal class FleetResult(
    val offeredLoad: Double,
    val goodWork: Double,
    val serverMinutes: Double,
    val spotMinutes: Double,
    val cost: Double,
    val unsafeMinutes: Int,
    val servers: List<ChartPoint>,
    val load: List<ChartPoint>,
)

/**
 * Runs the production planner on [loads], one per minute. [spotAvailableAt] tells whether spot servers are available
 * in a minute.
 */
internal class FleetRun(
    private val loads: DoubleArray,
    private val settings: FleetSizeSettings,
    private val spotAvailableAt: (Int) -> Boolean = { true },
) {
    private class SimulatedServer(val poolServer: PoolServer, val readyAt: Int)

    private val domains = List(DOMAINS) { FailureDomain("domain-$it") }
    private val planner = FleetPlanner(settings, domains)
    private val fleet = ArrayList<SimulatedServer>()
    private var orderedCount = 0
    private var goodWork = 0.0
    private var serverMinutes = 0
    private var spotMinutes = 0
    private var unsafeMinuteCount = 0

    fun run(): FleetResult {
        val initialServers = (loads[0] / settings.busyShare).toInt() + 1
        repeat(initialServers) {
            add(FleetOrder.Start(domains[it % DOMAINS], PriceClass.ORDINARY), -COLD_START_MINUTES)
        }
        val points = loads.indices.map { minute -> ChartPoint(minute / MINUTES_PER_HOUR, step(minute)) }
        return FleetResult(
            offeredLoad = loads.sum(),
            goodWork = goodWork,
            serverMinutes = serverMinutes.toDouble(),
            spotMinutes = spotMinutes.toDouble(),
            cost = serverMinutes - spotMinutes * (1 - settings.cheapPrice),
            unsafeMinutes = unsafeMinuteCount,
            servers = points.filterIndexed { index, _ -> index % CHART_MINUTES == 0 },
            load = loads.indices.filter {
                it % CHART_MINUTES == 0
            }.map { ChartPoint(it / MINUTES_PER_HOUR, loads[it]) },
        )
    }

    /** Simulates one minute; returns the number of servers paid for. */
    private fun step(minute: Int): Double {
        if (!spotAvailableAt(minute)) fleet.removeIf { it.poolServer.price == PriceClass.CHEAP }
        val ready = fleet.count { it.readyAt <= minute }
        goodWork += minOf(loads[minute], ready * settings.fullShare)
        serverMinutes += fleet.size
        spotMinutes += fleet.count { it.poolServer.price == PriceClass.CHEAP }
        if (!survivesLoss(minute)) unsafeMinuteCount++
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
        planner.plan(fleet.map { it.poolServer }, loads[minute], now).forEach { order ->
            when (order) {
                is FleetOrder.Start -> start(order, minute)
                is FleetOrder.Stop -> fleet.removeIf { it.poolServer.server == order.server }
            }
        }
    }

    private fun start(order: FleetOrder.Start, minute: Int) {
        if (order.price == PriceClass.CHEAP && !spotAvailableAt(minute)) {
            planner.cheapDeclined(order.domain, momentAt(minute * SECONDS_PER_MINUTE))
        } else {
            add(order, minute)
        }
    }

    private fun add(order: FleetOrder.Start, minute: Int) {
        val server = PoolServer(ServerId("server-${orderedCount++}"), order.domain, order.price)
        fleet += SimulatedServer(server, minute + COLD_START_MINUTES)
    }

    /** False if the loss of a domain's ready spot servers would leave the fleet more than one server too small. */
    private fun survivesLoss(minute: Int): Boolean {
        val ready = fleet.filter { it.readyAt <= minute }
        val lost = domains.maxOf { domain ->
            ready.count { it.poolServer.domain == domain && it.poolServer.price == PriceClass.CHEAP }
        }
        return lost == 0 || ready.size - lost >= loads[minute] / settings.carryShare - 1
    }

    internal companion object {
        const val DOMAINS = 3
        const val SECONDS_PER_MINUTE = 60.0
        const val MINUTES_PER_HOUR = 60.0
        private const val COLD_START_MINUTES = 4
        private const val PLAN_MINUTES = 1
        private const val BIN_MINUTES = (PeakForecast.BIN_SECONDS / SECONDS_PER_MINUTE).toInt()
        private const val CHART_MINUTES = 60
    }
}
