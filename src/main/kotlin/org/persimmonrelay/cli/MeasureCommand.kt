package org.persimmonrelay.cli

import org.kohsuke.args4j.Option
import org.persimmonrelay.clock.SystemClock
import org.persimmonrelay.measure.CatalogMeasure
import org.persimmonrelay.measure.DutyMeasure
import org.persimmonrelay.measure.Measure
import org.persimmonrelay.measure.MeasureSuite
import org.persimmonrelay.measure.PathBench
import org.persimmonrelay.measure.PathReport
import java.io.PrintStream

/**
 * `measure`: measures how resource costs grow with load, for the capacity documentation. With `--path` it measures the
 * overhead that a node adds to a request.
 */
internal class MeasureCommand : Command {
    @Option(name = "--path", usage = "compare requests through a node with direct requests")
    private var path: Boolean = false

    @Option(name = "--json", usage = "print JSON instead of a table")
    private var json: Boolean = false

    @Option(name = "--only", metaVar = "NAME", usage = "run only this measure; may be repeated")
    private var only: MutableList<String> = mutableListOf()

    override fun run(out: PrintStream, err: PrintStream): Int {
        if (path) {
            out.println(JsonLines.pretty.encodeToString(PathReport.serializer(), PathBench().run()))
            return ExitCode.OK
        }
        val measures = measures()
        val unknown = only - measures.map { it.name }.toSet()
        if (unknown.isNotEmpty()) {
            err.println("Unknown measure ${unknown.first()}; use one of ${measures.joinToString { it.name }}.")
            return ExitCode.USAGE
        }
        val report = MeasureSuite(measures) { err.println(it) }.run(only.toSet())
        out.println(if (json) report.toJson() else report.toTable())
        return ExitCode.OK
    }

    private fun measures(): List<Measure> = MeasureSuite.ofMesh() + CatalogMeasure(SystemClock, SEED) + DutyMeasure()

    private companion object {
        const val SEED = 1L
    }
}
