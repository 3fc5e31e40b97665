package org.persimmonrelay.experiment

import org.persimmonrelay.engine.EngineProfile

/** The runs of both policies over the same cases, and the bound. */
internal class Comparison(
    private val scenario: Scenario,
    private val seed: Long,
    private val profile: EngineProfile,
    bound: ServingBound,
    private val cases: List<ServingCase>,
) {
    val ours: ArmRuns = run(Arm.OURS, cases)
    val naive: ArmRuns = run(Arm.NAIVE, cases)
    val boundAnswers: Int = cases.sumOf { bound.goodAnswers(it.trace, it.trace.deployment.servers) }

    fun run(arm: Arm, of: List<ServingCase>): ArmRuns =
        ArmRuns(of.map { ServingRun(it.trace, arm, it.conditions, profile, seed).run() })

    fun report(targets: List<TargetReport>, details: Map<String, Double> = emptyMap()): ScenarioReport {
        val oursReport = withRatios(ours)
        val naiveReport = withRatios(naive)
        return ScenarioReport(
            scenario = scenario.title,
            seed = seed,
            arms = mapOf("ours" to oursReport, "naive" to naiveReport, "bound" to boundReport(oursReport)),
            targets = targets,
            details = details,
            charts = listOf(chart()),
        )
    }

    private fun withRatios(runs: ArmRuns): ArmReport = runs.report().copy(
        ratioNaive = runs.good.toDouble() / maxOf(1, naive.good),
        ratioBound = runs.good.toDouble() / maxOf(1, boundAnswers),
    )

    private fun boundReport(like: ArmReport) = ArmReport(
        goodput = boundAnswers / cases.maxOf { it.trace.seconds },
        serverHours = like.serverHours,
        costPerGoodput = like.costPerGoodput * ours.good / maxOf(1, boundAnswers),
        cheapShare = like.cheapShare,
        ratioNaive = boundAnswers.toDouble() / maxOf(1, naive.good),
        ratioBound = 1.0,
    )

    private fun chart() = ChartData(
        title = scenario.title,
        unit = "answers within bounds per second",
        timeUnit = "seconds",
        lines = mapOf("arrivals" to ours.arrivals(), "ours" to ours.line(), "naive" to naive.line()),
        marks = ours.results.flatMap { result -> result.changes.map { it.at } },
    )
}
