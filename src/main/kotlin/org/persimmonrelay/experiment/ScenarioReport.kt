package org.persimmonrelay.experiment

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient

/**
 * Result of a scenario. [arms] has the keys `ours`, `naive` and `bound` where they apply; [targets] are the metrics
 * that are checked against a limit, [details] further metrics by name.
 */
@Serializable
public data class ScenarioReport(
    val scenario: String,
    val seed: Long,
    val arms: Map<String, ArmReport>,
    val targets: List<TargetReport>,
    val details: Map<String, Double> = emptyMap(),
    @Transient val charts: List<ChartData> = emptyList(),
) {
    /** True when every target is met. */
    val met: Boolean
        get() = targets.all { it.met }
}

/**
 * Metrics of one policy. [goodput] counts good responses per second, that is, completed ones within the latency bounds
 * (good work per minute in the scenarios of fleet size). [worstWorkspace] is the lowest share of good responses of any
 * workspace. [costPerGoodput] is in hours of an ordinary server per thousand good responses (per hour of good work).
 * [refusedAfterRun] counts refused requests that may have run; [cut] those that were aborted or never ended.
 * [ratioNaive] and [ratioBound] compare the arm with `naive` and `bound`: by good responses, or by cost of good work.
 */
@Serializable
public data class ArmReport(
    val goodput: Double,
    @SerialName("worst_workspace") val worstWorkspace: Double? = null,
    @SerialName("ttft_p95_s") val firstTokenP95Seconds: Double? = null,
    @SerialName("itl_p95_s") val interTokenP95Seconds: Double? = null,
    @SerialName("role_changes") val roleChanges: Int = 0,
    @SerialName("server_hours") val serverHours: Double,
    @SerialName("cost_per_goodput") val costPerGoodput: Double,
    @SerialName("cheap_share") val spotShare: Double = 0.0,
    val refused: Int = 0,
    @SerialName("refused_after_run") val refusedAfterRun: Int = 0,
    val cut: Int = 0,
    @SerialName("ratio_naive") val ratioNaive: Double? = null,
    @SerialName("ratio_bound") val ratioBound: Double? = null,
)

/** A metric and its limit: [atLeast] or [atMost]. */
@Serializable
public data class TargetReport(
    val name: String,
    val value: Double,
    @SerialName("at_least") val atLeast: Double? = null,
    @SerialName("at_most") val atMost: Double? = null,
) {
    val met: Boolean = (atLeast == null || value >= atLeast) && (atMost == null || value <= atMost)
}

/** A line chart over time, in [timeUnit]; [marks] are times to be marked with a vertical line. */
public data class ChartData(
    val title: String,
    val unit: String,
    val timeUnit: String,
    val lines: Map<String, List<ChartPoint>>,
    val marks: List<Double> = emptyList(),
)

/** One point of a chart line, at a time in the chart's time unit. */
public data class ChartPoint(val at: Double, val value: Double)
