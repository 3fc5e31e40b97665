package org.persimmonrelay.experiment

import org.persimmonrelay.engine.EngineProfile

/** Runs both policies on the same cases and computes the upper bound on their good responses. */
internal class PolicyComparison(
    private val scenario: Scenario,
    private val seed: Long,
    private val profile: EngineProfile,
    bound: ServingBound,
    private val cases: List<ServingCase>,
) {
    val ours: ArmRuns = run(Arm.OURS, cases)
    val naive: ArmRuns = run(Arm.NAIVE, cases)
    val boundGoodResponses: Int = cases.sumOf { bound.maxGoodResponses(it.trace, it.trace.deployment.servers) }

    fun run(arm: Arm, servingCases: List<ServingCase>): ArmRuns =
        ArmRuns(servingCases.map { ServingRun(it.trace, arm, it.conditions, profile, seed).run() })

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
        ratioNaive = runs.goodResponses.toDouble() / maxOf(1, naive.goodResponses),
        ratioBound = runs.goodResponses.toDouble() / maxOf(1, boundGoodResponses),
    )

    private fun boundReport(oursReport: ArmReport) = ArmReport(
        goodput = boundGoodResponses / cases.maxOf { it.trace.seconds },
        serverHours = oursReport.serverHours,
        costPerGoodput = oursReport.costPerGoodput * ours.goodResponses / maxOf(1, boundGoodResponses),
        spotShare = oursReport.spotShare,
        ratioNaive = boundGoodResponses.toDouble() / maxOf(1, naive.goodResponses),
        ratioBound = 1.0,
    )

    private fun chart() = ChartData(
        title = scenario.title,
        unit = "answers within bounds per second",
        timeUnit = "seconds",
        lines = mapOf(
            "arrivals" to ours.arrivalSeries(),
            "ours" to ours.goodputSeries(),
            "naive" to naive.goodputSeries(),
        ),
        marks = ours.results.flatMap { result -> result.changes.map { it.at } },
    )
}
