package org.persimmonrelay.experiment

import org.persimmonrelay.fleet.plan.FleetSizeSettings
import kotlin.math.abs
import kotlin.math.ceil
import kotlin.math.exp
import kotlin.random.Random
import kotlin.random.asJavaRandom

/** The scenarios that simulate the fleet size over ten days. */
internal class FleetScenarios(private val seed: Long) {
    private val settings = FleetSizeSettings()
    private val loads = loads()

    fun drift(): ScenarioReport = report(Scenario.DRIFT) { true }

    /** On the fourth and fifth day the spot servers stop and no new ones are available. */
    fun noCheap(): ScenarioReport = report(Scenario.NO_CHEAP) { minute ->
        minute / MINUTES_PER_DAY !in NO_SPOT_FROM_DAY until NO_SPOT_UNTIL_DAY
    }

    private fun report(scenario: Scenario, spotAvailableAt: (Int) -> Boolean): ScenarioReport {
        val ours = FleetRun(loads, settings, spotAvailableAt).run()
        val naive = naive()
        val boundCost = loads.indices.sumOf { loads[it] * FleetBound(settings).minCostPerLoad(spotAvailableAt(it)) }
        val arms =
            mapOf(
                "ours" to armReport(ours, naive, boundCost),
                "naive" to armReport(naive, naive, boundCost),
                "bound" to boundReport(boundCost, naive),
            )
        val targets =
            if (scenario == Scenario.DRIFT) {
                listOf(
                    TargetReport("cost_of_naive", costPerGoodWork(ours) / costPerGoodWork(naive), atMost = 0.75),
                    TargetReport("cost_of_bound", costPerGoodWork(ours) * loads.sum() / boundCost, atMost = 1.15),
                )
            } else {
                emptyList()
            }
        val details =
            mapOf(
                "goodput_of_asked" to ours.goodWork / ours.offeredLoad,
                "unsafe_minutes" to ours.unsafeMinutes.toDouble(),
            )
        val chart =
            ChartData(
                title = scenario.title,
                unit = "servers, and load in servers' full work",
                timeUnit = "hours",
                lines = mapOf("load" to ours.load, "ours" to ours.servers, "naive" to naive.servers),
            )
        return ScenarioReport(scenario.title, seed, arms, targets, details, listOf(chart))
    }

    /** The baseline: ordinary servers only, as many as the peak load needs, never stopped. */
    private fun naive(): FleetResult {
        val servers = ceil(loads.max() / settings.fullShare)
        val minutes = servers * loads.size
        val line = listOf(0, loads.size).map { ChartPoint(it / FleetRun.MINUTES_PER_HOUR, servers) }
        return FleetResult(loads.sum(), loads.sum(), minutes, 0.0, minutes, 0, line, emptyList())
    }

    private fun armReport(result: FleetResult, naive: FleetResult, boundCost: Double) = ArmReport(
        goodput = result.goodWork / loads.size,
        serverHours = result.serverMinutes / FleetRun.MINUTES_PER_HOUR,
        costPerGoodput = costPerGoodWork(result),
        spotShare = result.spotMinutes / result.serverMinutes,
        ratioNaive = costPerGoodWork(result) / costPerGoodWork(naive),
        ratioBound = costPerGoodWork(result) * loads.sum() / boundCost,
    )

    private fun boundReport(boundCost: Double, naive: FleetResult) = ArmReport(
        goodput = loads.average(),
        serverHours = 0.0,
        costPerGoodput = boundCost / loads.sum(),
        ratioNaive = boundCost / loads.sum() / costPerGoodWork(naive),
        ratioBound = 1.0,
    )

    private fun costPerGoodWork(result: FleetResult): Double = result.cost / result.goodWork

    /** Load per minute: a base, a small peak at noon, a large evening peak that moves later each day, and noise. */
    private fun loads(): DoubleArray {
        val random = Random(seed)
        val gaussians = random.asJavaRandom()
        val eveningAt = EVENING_HOUR + random.nextDouble()
        var noise = 0.0
        return DoubleArray(DAYS * MINUTES_PER_DAY) { minute ->
            val day = minute / MINUTES_PER_DAY
            val hour = minute % MINUTES_PER_DAY / FleetRun.MINUTES_PER_HOUR
            noise = noise * NOISE_CORRELATION + gaussians.nextGaussian() * NOISE
            val evening = EVENING_LOAD * dailyPeak(hour, eveningAt + day * DRIFT_HOURS, EVENING_WIDTH)
            val load = BASE_LOAD + NOON_LOAD * dailyPeak(hour, NOON_HOUR, NOON_WIDTH) + evening
            load * maxOf(MIN_NOISE_FACTOR, 1 + noise)
        }
    }

    private fun dailyPeak(hour: Double, at: Double, width: Double): Double {
        val offset = abs(hour - at) % HOURS_PER_DAY
        val distance = minOf(offset, HOURS_PER_DAY - offset) / width
        return exp(-distance * distance / 2)
    }

    private companion object {
        const val DAYS = 10
        const val MINUTES_PER_DAY = 1_440
        const val HOURS_PER_DAY = 24.0
        const val NO_SPOT_FROM_DAY = 3
        const val NO_SPOT_UNTIL_DAY = 5
        const val BASE_LOAD = 8.0
        const val NOON_LOAD = 10.0
        const val NOON_HOUR = 12.0
        const val NOON_WIDTH = 2.0
        const val EVENING_LOAD = 36.0
        const val EVENING_HOUR = 18.0
        const val EVENING_WIDTH = 1.6
        const val DRIFT_HOURS = 1.0 / 3
        const val NOISE = 0.01
        const val NOISE_CORRELATION = 0.9
        const val MIN_NOISE_FACTOR = 0.5
    }
}
