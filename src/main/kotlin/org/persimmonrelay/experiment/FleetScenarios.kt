package org.persimmonrelay.experiment

import org.persimmonrelay.fleet.plan.FleetSizeSettings
import kotlin.math.abs
import kotlin.math.ceil
import kotlin.math.exp
import kotlin.random.Random
import kotlin.random.asJavaRandom

/** The scenarios of fleet size over ten days. */
internal class FleetScenarios(private val seed: Long) {
    private val settings = FleetSizeSettings()
    private val loads = loads()

    fun drift(): ScenarioReport = report(Scenario.DRIFT) { true }

    /** On the fourth and fifth day cheap servers vanish and can't be had. */
    fun noCheap(): ScenarioReport = report(Scenario.NO_CHEAP) { minute ->
        minute / MINUTES_PER_DAY !in NO_CHEAP_FROM until NO_CHEAP_UNTIL
    }

    private fun report(scenario: Scenario, cheapAt: (Int) -> Boolean): ScenarioReport {
        val ours = FleetRun(loads, settings, cheapAt).run()
        val naive = naive()
        val boundCost = loads.indices.sumOf { loads[it] * FleetBound(settings).costOfLoad(cheapAt(it)) }
        val arms =
            mapOf(
                "ours" to arm(ours, naive, boundCost),
                "naive" to arm(naive, naive, boundCost),
                "bound" to boundArm(boundCost, naive),
            )
        val targets =
            if (scenario == Scenario.DRIFT) {
                listOf(
                    TargetReport("cost_of_naive", perGood(ours) / perGood(naive), atMost = 0.75),
                    TargetReport("cost_of_bound", perGood(ours) * loads.sum() / boundCost, atMost = 1.15),
                )
            } else {
                emptyList()
            }
        val details =
            mapOf("goodput_of_asked" to ours.good / ours.asked, "unsafe_minutes" to ours.unsafeMinutes.toDouble())
        val chart =
            ChartData(
                title = scenario.title,
                unit = "servers, and load in servers' full work",
                timeUnit = "hours",
                lines = mapOf("load" to ours.load, "ours" to ours.servers, "naive" to naive.servers),
            )
        return ScenarioReport(scenario.title, seed, arms, targets, details, listOf(chart))
    }

    /** Sized for the peak, ordinary servers only, never stopped. */
    private fun naive(): FleetResult {
        val servers = ceil(loads.max() / settings.fullShare)
        val minutes = servers * loads.size
        val line = listOf(0, loads.size).map { ChartPoint(it / FleetRun.MINUTES_PER_HOUR, servers) }
        return FleetResult(loads.sum(), loads.sum(), minutes, 0.0, minutes, 0, line, emptyList())
    }

    private fun arm(result: FleetResult, naive: FleetResult, boundCost: Double) = ArmReport(
        goodput = result.good / loads.size,
        serverHours = result.serverMinutes / FleetRun.MINUTES_PER_HOUR,
        costPerGoodput = perGood(result),
        cheapShare = result.cheapMinutes / result.serverMinutes,
        ratioNaive = perGood(result) / perGood(naive),
        ratioBound = perGood(result) * loads.sum() / boundCost,
    )

    private fun boundArm(boundCost: Double, naive: FleetResult) = ArmReport(
        goodput = loads.average(),
        serverHours = 0.0,
        costPerGoodput = boundCost / loads.sum(),
        ratioNaive = boundCost / loads.sum() / perGood(naive),
        ratioBound = 1.0,
    )

    private fun perGood(result: FleetResult): Double = result.cost / result.good

    /** Load per minute: a day's base, a small noon and a large evening peak that comes later each day, and noise. */
    private fun loads(): DoubleArray {
        val random = Random(seed)
        val gaussians = random.asJavaRandom()
        val eveningAt = EVENING_HOUR + random.nextDouble()
        var noise = 0.0
        return DoubleArray(DAYS * MINUTES_PER_DAY) { minute ->
            val day = minute / MINUTES_PER_DAY
            val hour = minute % MINUTES_PER_DAY / FleetRun.MINUTES_PER_HOUR
            noise = noise * NOISE_KEPT + gaussians.nextGaussian() * NOISE
            val evening = EVENING_LOAD * hill(hour, eveningAt + day * DRIFT_HOURS, EVENING_WIDTH)
            val load = BASE_LOAD + NOON_LOAD * hill(hour, NOON_HOUR, NOON_WIDTH) + evening
            load * maxOf(LEAST_NOISE, 1 + noise)
        }
    }

    private fun hill(hour: Double, at: Double, width: Double): Double {
        val away = abs(hour - at) % HOURS
        val distance = minOf(away, HOURS - away) / width
        return exp(-distance * distance / 2)
    }

    private companion object {
        const val DAYS = 10
        const val MINUTES_PER_DAY = 1_440
        const val HOURS = 24.0
        const val NO_CHEAP_FROM = 3
        const val NO_CHEAP_UNTIL = 5
        const val BASE_LOAD = 8.0
        const val NOON_LOAD = 10.0
        const val NOON_HOUR = 12.0
        const val NOON_WIDTH = 2.0
        const val EVENING_LOAD = 36.0
        const val EVENING_HOUR = 18.0
        const val EVENING_WIDTH = 1.6
        const val DRIFT_HOURS = 1.0 / 3
        const val NOISE = 0.01
        const val NOISE_KEPT = 0.9
        const val LEAST_NOISE = 0.5
    }
}
