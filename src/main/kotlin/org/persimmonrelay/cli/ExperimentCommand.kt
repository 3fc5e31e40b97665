package org.persimmonrelay.cli

import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import org.persimmonrelay.experiment.Scenario
import org.persimmonrelay.experiment.ScenarioExperiment
import org.persimmonrelay.experiment.ScenarioPlot
import org.persimmonrelay.experiment.ScenarioReport
import org.persimmonrelay.experiment.laws.LawExperiment
import org.persimmonrelay.experiment.laws.LawResult
import java.io.File
import java.io.PrintStream

/**
 * `experiment SCENARIO` compares policies on one trace. `experiment laws` checks the invariants of the system in random
 * schedules of failures.
 */
internal class ExperimentCommand : Command {
    @Argument(required = true, metaVar = "SCENARIO", usage = "name of a scenario, or laws to check invariants")
    private lateinit var scenario: String

    @Option(name = "--seed", usage = "seed of the trace or of the schedules")
    private var seed: Long = 1

    @Option(name = "--schedules", usage = "total number of schedules for all laws")
    private var schedules: Int = 20_000

    @Option(name = "--json", usage = "print JSON instead of a table")
    private var json: Boolean = false

    @Option(name = "--plot", metaVar = "FILE", usage = "write a plot as SVG to this file")
    private var plot: File? = null

    override fun run(out: PrintStream, err: PrintStream): Int {
        if (scenario == LAWS) return laws(out)
        val known = Scenario.named(scenario)
        if (known == null) {
            val names = Scenario.entries.joinToString { it.title }
            err.println("Unknown scenario $scenario; use one of $names, or $LAWS.")
            return ExitCode.USAGE
        }
        return scenario(known, out)
    }

    private fun scenario(known: Scenario, out: PrintStream): Int {
        val report = ScenarioExperiment().run(known, seed)
        ScenarioPlot().draw(report)?.let { plot?.writeText(it) }
        if (json) {
            out.println(JsonLines.pretty.encodeToString(ScenarioReport.serializer(), report))
        } else {
            printTable(report, out)
        }
        return if (report.met) ExitCode.OK else ExitCode.FAILED
    }

    private fun printTable(report: ScenarioReport, out: PrintStream) {
        out.println("${report.scenario}, seed ${report.seed}")
        report.arms.forEach { (name, arm) -> out.println("  ${name.padEnd(ARM_WIDTH)} $arm") }
        report.targets.forEach { target ->
            val bound = target.atLeast?.let { "at least $it" } ?: "at most ${target.atMost}"
            out.println("  ${if (target.met) "met   " else "MISSED"} ${target.name}: ${target.value}, $bound")
        }
    }

    private fun laws(out: PrintStream): Int {
        val results = LawExperiment.run(schedules, seed)
        results.forEach { out.println(if (json) JsonLines.encode(it) else describe(it)) }
        return if (results.all { it.violations == 0 }) ExitCode.OK else ExitCode.FAILED
    }

    private fun describe(result: LawResult): String {
        val seedNote = result.firstFailingSeed?.let { ", first with seed $it" }.orEmpty()
        return "${result.law}: ${result.violations} violations in ${result.schedules} schedules$seedNote; " +
            "naive version ${result.naiveViolations}"
    }

    private companion object {
        const val LAWS = "laws"
        const val ARM_WIDTH = 6
    }
}
