package org.persimmonrelay.experiment

import org.persimmonrelay.engine.EngineProfile

/** A trace and what happens to it. */
internal class ServingCase(val trace: Trace, val conditions: Conditions = Conditions())

/** The scenarios that run requests through engines, and their targets. */
internal class ServingScenarios(private val seed: Long, private val profile: EngineProfile = EngineProfile()) {
    private val workloads = Workloads(profile, seed)
    private val bound = ServingBound(profile)

    fun mixShift(): ScenarioReport {
        val cases = mixShiftCases(emptyList())
        val compared = compare(Scenario.MIX_SHIFT, cases)
        return compared.report(shiftTargets(compared, listOf(FIRST_SHIFT, SECOND_SHIFT)))
    }

    fun crash(): ScenarioReport {
        val faults = CRASHES_AT.mapIndexed { index, at -> Fault.Crash(at, index, CRASH_SECONDS) }
        val compared = compare(Scenario.CRASH, mixShiftCases(faults))
        return compared.report(listOf(afterRun(compared)))
    }

    fun stones(): ScenarioReport {
        val cases =
            listOf(
                ServingCase(workloads.stones(STONES_SECONDS, Workloads.BUSY_LOAD, STONES_SHARE)),
                ServingCase(workloads.yard(workloads.yardApp, STONES_SECONDS)),
            )
        val compared = compare(Scenario.STONES, cases)
        return compared.report(shiftTargets(compared, STONES_SHIFTS))
    }

    fun overload(): ScenarioReport {
        val share = { _: Double -> EVEN_SHARE }
        val conditions = Conditions(initialPromptShare = EVEN_SHARE)
        val case = ServingCase(workloads.planner(OVERLOAD_SECONDS, OVERLOAD_FACTOR, share), conditions)
        val compared = compare(Scenario.OVERLOAD, listOf(case))
        val capacity =
            CAPACITY_LOADS.maxOf { load ->
                val trace = workloads.planner(OVERLOAD_SECONDS, load, share)
                compared.run(Arm.OURS, listOf(ServingCase(trace, conditions))).goodput
            }
        val reached = TargetReport("goodput_of_capacity", compared.ours.goodput / capacity, atLeast = 0.9)
        return compared.report(listOf(reached, afterRun(compared)), mapOf("capacity" to capacity))
    }

    fun flood(): ScenarioReport {
        val share = { _: Double -> USUAL_SHARE }
        val conditions = Conditions(initialPromptShare = USUAL_SHARE)
        val usual = workloads.planner(FLOOD_SECONDS, FLOOD_LOAD, share)
        val case = ServingCase(FloodMaker(seed).flood(usual, FLOODING, FLOOD_FACTOR), conditions)
        val compared = compare(Scenario.FLOOD, listOf(case))
        val without = compared.run(Arm.OURS, listOf(ServingCase(usual, conditions))).byWorkspace()
        val with = compared.ours.byWorkspace()
        val kept = (without.keys - FLOODING).minOf { with.getValue(it) / without.getValue(it) }
        val target = TargetReport("worst_other_keeps", kept, atLeast = 0.9)
        return compared.report(listOf(target, afterRun(compared)))
    }

    fun domainLoss(): ScenarioReport {
        val loss = Fault.DomainLoss(LOSS_AT, domain = 0, servers = 2, noticeSeconds = NOTICE_SECONDS)
        val conditions = Conditions(listOf(loss), initialPromptShare = USUAL_SHARE)
        val trace = workloads.planner(LOSS_SECONDS, SPARE_LOAD, { USUAL_SHARE })
        val compared = compare(Scenario.DOMAIN_LOSS, listOf(ServingCase(trace, conditions)))
        val since = LOSS_AT + NOTICE_SECONDS + RECOVERY_SECONDS
        val after = compared.ours.results.single().states.filter { it.request.at in since..since + WATCHED_SECONDS }
        val kept = after.count { it.isGood(trace.deployment) }.toDouble() / after.size
        val cut = compared.ours.report().cut.toDouble()
        val targets =
            listOf(
                TargetReport("goodput_of_what_is_left", kept, atLeast = 0.95),
                TargetReport("cut", cut, atMost = 0.0),
                afterRun(compared),
            )
        return compared.report(targets)
    }

    fun stale(): ScenarioReport {
        val conditions =
            Conditions(reportLag = 5.0, lostReports = 0.1, lostProgress = 0.3, initialPromptShare = USUAL_SHARE)
        val trace = workloads.planner(STALE_SECONDS, SPARE_LOAD, { USUAL_SHARE })
        val compared = compare(Scenario.STALE, listOf(ServingCase(trace, conditions)))
        return compared.report(listOf(afterRun(compared)))
    }

    fun regionCut(): ScenarioReport {
        val cut = Fault.RegionCut(CUT_AT, region = 2, seconds = CUT_SECONDS)
        val conditions = Conditions(listOf(cut), initialPromptShare = USUAL_SHARE)
        val trace = workloads.planner(STALE_SECONDS, SPARE_LOAD, { USUAL_SHARE })
        val compared = compare(Scenario.REGION_CUT, listOf(ServingCase(trace, conditions)))
        return compared.report(listOf(afterRun(compared)))
    }

    private fun mixShiftCases(faults: List<Fault>): List<ServingCase> {
        val share =
            curve(
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

    private fun compare(scenario: Scenario, cases: List<ServingCase>): Comparison =
        Comparison(scenario, seed, profile, bound, cases)

    private fun shiftTargets(compared: Comparison, shifts: List<Double>): List<TargetReport> {
        val most = compared.ours.results.maxOf { result -> mostChanges(result.changes, shifts) }
        return listOf(
            TargetReport("ratio_bound", compared.ours.good.toDouble() / compared.boundAnswers, atLeast = 0.95),
            TargetReport("ratio_naive", compared.ours.good.toDouble() / compared.naive.good, atLeast = 1.3),
            TargetReport("most_changes_per_engine_and_shift", most.toDouble(), atMost = 2.0),
        )
    }

    private fun mostChanges(changes: List<ChangeRecord>, shifts: List<Double>): Int = changes
        .groupingBy { change -> change.engine to shifts.count { it <= change.at } }
        .eachCount()
        .values
        .maxOrNull() ?: 0

    private fun afterRun(compared: Comparison): TargetReport =
        TargetReport("refused_after_run", compared.ours.report().refusedAfterRun.toDouble(), atMost = 0.0)

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
            curve(60.0 to 0.2, 120.0 to 0.7, 240.0 to 0.7, 300.0 to 0.25, 420.0 to 0.25, 500.0 to 0.65)
        const val STONES_SECONDS = 600.0
        const val OVERLOAD_SECONDS = 120.0
        const val OVERLOAD_FACTOR = 3.0
        val CAPACITY_LOADS = listOf(0.7, 0.8, 0.9, 1.0, 1.1)
        const val FLOOD_SECONDS = 180.0
        const val FLOOD_LOAD = 0.6
        const val FLOOD_FACTOR = 10
        const val FLOODING = 2
        const val LOSS_SECONDS = 180.0
        const val LOSS_AT = 60.0
        const val NOTICE_SECONDS = 5.0
        const val RECOVERY_SECONDS = 5.0
        const val WATCHED_SECONDS = 60.0
        const val SPARE_LOAD = 0.6
        const val STALE_SECONDS = 240.0
        const val CUT_AT = 60.0
        const val CUT_SECONDS = 60.0

        /** The line through [points], level before the first and after the last. */
        fun curve(vararg points: Pair<Double, Double>): (Double) -> Double = { at ->
            val next = points.indexOfFirst { it.first >= at }
            when (next) {
                -1 -> points.last().second
                0 -> points.first().second
                else -> between(points[next - 1], points[next], at)
            }
        }

        fun between(from: Pair<Double, Double>, to: Pair<Double, Double>, at: Double): Double =
            from.second + (to.second - from.second) * (at - from.first) / (to.first - from.first)
    }
}
