package org.persimmonrelay.experiment

import org.persimmonrelay.engine.EngineProfile

/** A trace and the conditions to run it under. */
internal class ServingCase(val trace: Trace, val conditions: Conditions = Conditions())

/** The scenarios that simulate requests on engines, with their targets. */
internal class ServingScenarios(private val seed: Long, private val profile: EngineProfile = EngineProfile()) {
    private val workloads = Workloads(profile, seed)
    private val bound = ServingBound(profile)

    fun mixShift(): ScenarioReport {
        val cases = mixShiftCases(emptyList())
        val comparison = compare(Scenario.MIX_SHIFT, cases)
        return comparison.report(shiftTargets(comparison, listOf(FIRST_SHIFT, SECOND_SHIFT)))
    }

    fun crash(): ScenarioReport {
        val faults = CRASHES_AT.mapIndexed { index, at -> Fault.Crash(at, index, CRASH_SECONDS) }
        val comparison = compare(Scenario.CRASH, mixShiftCases(faults))
        return comparison.report(listOf(refusedAfterRunTarget(comparison)))
    }

    fun stones(): ScenarioReport {
        val cases =
            listOf(
                ServingCase(workloads.stones(STONES_SECONDS, Workloads.BUSY_LOAD, STONES_SHARE)),
                ServingCase(workloads.yard(workloads.yardApp, STONES_SECONDS)),
            )
        val comparison = compare(Scenario.STONES, cases)
        return comparison.report(shiftTargets(comparison, STONES_SHIFTS))
    }

    fun overload(): ScenarioReport {
        val share = { _: Double -> EVEN_SHARE }
        val conditions = Conditions(initialPromptShare = EVEN_SHARE)
        val case = ServingCase(workloads.planner(OVERLOAD_SECONDS, OVERLOAD_FACTOR, share), conditions)
        val comparison = compare(Scenario.OVERLOAD, listOf(case))
        val capacity =
            CAPACITY_LOADS.maxOf { load ->
                val trace = workloads.planner(OVERLOAD_SECONDS, load, share)
                comparison.run(Arm.OURS, listOf(ServingCase(trace, conditions))).goodput
            }
        val capacityTarget = TargetReport("goodput_of_capacity", comparison.ours.goodput / capacity, atLeast = 0.9)
        return comparison.report(
            listOf(capacityTarget, refusedAfterRunTarget(comparison)),
            mapOf("capacity" to capacity),
        )
    }

    fun flood(): ScenarioReport {
        val share = { _: Double -> USUAL_SHARE }
        val conditions = Conditions(initialPromptShare = USUAL_SHARE)
        val usual = workloads.planner(FLOOD_SECONDS, FLOOD_LOAD, share)
        val case = ServingCase(FloodGenerator(seed).flood(usual, FLOODING_WORKSPACE, FLOOD_FACTOR), conditions)
        val comparison = compare(Scenario.FLOOD, listOf(case))
        val without = comparison.run(Arm.OURS, listOf(ServingCase(usual, conditions))).goodShareByWorkspace()
        val with = comparison.ours.goodShareByWorkspace()
        val retainedShare = (without.keys - FLOODING_WORKSPACE).minOf { with.getValue(it) / without.getValue(it) }
        val target = TargetReport("worst_other_keeps", retainedShare, atLeast = 0.9)
        return comparison.report(listOf(target, refusedAfterRunTarget(comparison)))
    }

    fun domainLoss(): ScenarioReport {
        val loss = Fault.DomainLoss(LOSS_AT, domain = 0, servers = 2, noticeSeconds = NOTICE_SECONDS)
        val conditions = Conditions(listOf(loss), initialPromptShare = USUAL_SHARE)
        val trace = workloads.planner(LOSS_SECONDS, MODERATE_LOAD, { USUAL_SHARE })
        val comparison = compare(Scenario.DOMAIN_LOSS, listOf(ServingCase(trace, conditions)))
        val since = LOSS_AT + NOTICE_SECONDS + RECOVERY_SECONDS
        val after = comparison.ours.results.single().states.filter { it.request.at in since..since + MEASURED_SECONDS }
        val retainedShare = after.count { it.isGood(trace.deployment) }.toDouble() / after.size
        val cut = comparison.ours.report().cut.toDouble()
        val targets =
            listOf(
                TargetReport("goodput_of_what_is_left", retainedShare, atLeast = 0.95),
                TargetReport("cut", cut, atMost = 0.0),
                refusedAfterRunTarget(comparison),
            )
        return comparison.report(targets)
    }

    fun stale(): ScenarioReport {
        val conditions =
            Conditions(reportLag = 5.0, lostReports = 0.1, lostProgress = 0.3, initialPromptShare = USUAL_SHARE)
        val trace = workloads.planner(FAULT_RUN_SECONDS, MODERATE_LOAD, { USUAL_SHARE })
        val comparison = compare(Scenario.STALE, listOf(ServingCase(trace, conditions)))
        return comparison.report(listOf(refusedAfterRunTarget(comparison)))
    }

    fun regionCut(): ScenarioReport {
        val partition = Fault.RegionPartition(PARTITION_AT, region = 2, seconds = PARTITION_SECONDS)
        val conditions = Conditions(listOf(partition), initialPromptShare = USUAL_SHARE)
        val trace = workloads.planner(FAULT_RUN_SECONDS, MODERATE_LOAD, { USUAL_SHARE })
        val comparison = compare(Scenario.REGION_CUT, listOf(ServingCase(trace, conditions)))
        return comparison.report(listOf(refusedAfterRunTarget(comparison)))
    }

    private fun mixShiftCases(faults: List<Fault>): List<ServingCase> {
        val share =
            piecewiseLinear(
                FIRST_SHIFT to LOW_SHARE,
                FIRST_SHIFT + SHIFT_SECONDS to HIGH_SHARE,
                SECOND_SHIFT to HIGH_SHARE,
                SECOND_SHIFT + SHIFT_SECONDS to LOW_SHARE,
            )
        val planner = workloads.planner(MIX_SECONDS, Workloads.BUSY_LOAD, share)
        return listOf(
            ServingCase(planner, Conditions(faults)),
            ServingCase(workloads.yard(workloads.yardDesk, MIX_SECONDS)),
        )
    }

    private fun compare(scenario: Scenario, cases: List<ServingCase>): PolicyComparison =
        PolicyComparison(scenario, seed, profile, bound, cases)

    private fun shiftTargets(comparison: PolicyComparison, shifts: List<Double>): List<TargetReport> {
        val maxChanges = comparison.ours.results.maxOf { result -> maxChangesPerEngineAndShift(result.changes, shifts) }
        return listOf(
            TargetReport(
                "ratio_bound",
                comparison.ours.goodResponses.toDouble() / comparison.boundGoodResponses,
                atLeast = 0.95,
            ),
            TargetReport(
                "ratio_naive",
                comparison.ours.goodResponses.toDouble() / comparison.naive.goodResponses,
                atLeast = 1.3,
            ),
            TargetReport("most_changes_per_engine_and_shift", maxChanges.toDouble(), atMost = 2.0),
        )
    }

    private fun maxChangesPerEngineAndShift(changes: List<RoleChangeRecord>, shifts: List<Double>): Int = changes
        .groupingBy { change -> change.engine to shifts.count { it <= change.at } }
        .eachCount()
        .values
        .maxOrNull() ?: 0

    private fun refusedAfterRunTarget(comparison: PolicyComparison): TargetReport =
        TargetReport("refused_after_run", comparison.ours.report().refusedAfterRun.toDouble(), atMost = 0.0)

    private companion object {
        const val MIX_SECONDS = 720.0
        const val FIRST_SHIFT = 120.0
        const val SECOND_SHIFT = 480.0
        const val SHIFT_SECONDS = 120.0
        const val LOW_SHARE = 0.2
        const val HIGH_SHARE = 0.8
        const val CRASH_SECONDS = 60.0
        const val EVEN_SHARE = 0.5
        const val USUAL_SHARE = 0.4
        val CRASHES_AT = listOf(150.0, 175.0, 200.0, 545.0, 570.0)
        val STONES_SHIFTS = listOf(60.0, 240.0, 420.0)
        val STONES_SHARE =
            piecewiseLinear(60.0 to 0.2, 120.0 to 0.7, 240.0 to 0.7, 300.0 to 0.25, 420.0 to 0.25, 500.0 to 0.65)
        const val STONES_SECONDS = 600.0
        const val OVERLOAD_SECONDS = 120.0
        const val OVERLOAD_FACTOR = 3.0
        val CAPACITY_LOADS = listOf(0.7, 0.8, 0.9, 1.0, 1.1)
        const val FLOOD_SECONDS = 180.0
        const val FLOOD_LOAD = 0.6
        const val FLOOD_FACTOR = 10
        const val FLOODING_WORKSPACE = 2
        const val LOSS_SECONDS = 180.0
        const val LOSS_AT = 60.0
        const val NOTICE_SECONDS = 5.0
        const val RECOVERY_SECONDS = 5.0
        const val MEASURED_SECONDS = 60.0
        const val MODERATE_LOAD = 0.6
        const val FAULT_RUN_SECONDS = 240.0
        const val PARTITION_AT = 60.0
        const val PARTITION_SECONDS = 60.0

        /** Linear interpolation between [points], constant before the first and after the last. */
        fun piecewiseLinear(vararg points: Pair<Double, Double>): (Double) -> Double = { at ->
            val next = points.indexOfFirst { it.first >= at }
            when (next) {
                -1 -> points.last().second
                0 -> points.first().second
                else -> interpolate(points[next - 1], points[next], at)
            }
        }

        fun interpolate(from: Pair<Double, Double>, to: Pair<Double, Double>, at: Double): Double =
            from.second + (to.second - from.second) * (at - from.first) / (to.first - from.first)
    }
}
