package org.persimmonrelay.measure

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.util.Locale

/** The fitted slopes of all measures that ran. */
@Serializable
public data class MeasureReport(val slopes: List<Slope>) {
    /** The report as JSON. */
    public fun toJson(): String = JSON.encodeToString(serializer(), this)

    /** The report as a text table: one line per slope, followed by its readings grouped by size. */
    public fun toTable(): String = buildString {
        slopes.forEach { slope ->
            val line = "%-34s %14s %s per %s, spread %s, at zero %s"
            appendLine(
                line.format(
                    Locale.ROOT,
                    slope.name,
                    number(slope.slope),
                    slope.what,
                    slope.per,
                    number(slope.spread),
                    number(slope.intercept),
                ),
            )
            slope.points.groupBy { it.x }.forEach { (x, readings) ->
                appendLine("    %12s: %s".format(Locale.ROOT, number(x), readings.joinToString(" ") { number(it.y) }))
            }
        }
    }

    private fun number(value: Double) = String.format(
        Locale.ROOT,
        if (value in
            -ROUNDING_THRESHOLD..ROUNDING_THRESHOLD
        ) {
            "%.4g"
        } else {
            "%.0f"
        },
        value,
    )

    private companion object {
        const val ROUNDING_THRESHOLD = 1_000.0
        val JSON = Json { prettyPrint = true }
    }
}

/** Runs measures one after the other; [onProgress] receives a line of text before each. */
public class MeasureSuite(private val measures: List<Measure>, private val onProgress: (String) -> Unit = {}) {
    /**
     * Runs the measures whose names are in [only], or all if it is empty. Throws [IllegalArgumentException] for an
     * unknown name.
     */
    public fun run(only: Set<String> = emptySet()): MeasureReport {
        val unknown = only - measures.map { it.name }.toSet()
        require(unknown.isEmpty()) { "No measure is named $unknown; there are ${measures.map { it.name }}." }
        val chosen = measures.filter { only.isEmpty() || it.name in only }
        return MeasureReport(
            chosen.flatMap {
                onProgress("measuring ${it.name}")
                it.run()
            },
        )
    }

    public companion object {
        /** Membership, control traffic between nodes, peer calls, the event timeline and routing. */
        public fun ofMesh(): List<Measure> =
            listOf(MemberMeasure(), MeshMeasure(), PeerCallMeasure(), TimelineMeasure(), RoutingMeasure())
    }
}
