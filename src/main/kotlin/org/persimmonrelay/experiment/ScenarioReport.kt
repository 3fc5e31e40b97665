package org.persimmonrelay.experiment

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient

/**
 * What a scenario gave. [arms] has `ours`, `naive` and `bound` where they apply, [targets] the figures that are
 * held against a stated target, [details] further figures by name.
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
 * The figures of one policy. [goodput] is in whole answers within bounds per second, [worstWorkspace] the least
 * share of a workspace's requests that were answered so, [costPerGoodput] in hours of an ordinary server per
 * thousand such answers.
 */
@Serializable
public data class ArmReport(
    val goodput: Double,
    @SerialName("worst_workspace") val worstWorkspace: Double? = null,
    @SerialName("ttft_p95_s") val firstTokenP95Seconds: Double? = null,
    @SerialName("itl_p95_s") val betweenTokensP95Seconds: Double? = null,
    @SerialName("role_changes") val roleChanges: Int = 0,
    @SerialName("server_hours") val serverHours: Double,
    @SerialName("cost_per_goodput") val costPerGoodput: Double,
    @SerialName("cheap_share") val cheapShare: Double = 0.0,
    val refused: Int = 0,
    @SerialName("refused_after_run") val refusedAfterRun: Int = 0,
    val cut: Int = 0,
    @SerialName("ratio_naive") val ratioNaive: Double? = null,
    @SerialName("ratio_bound") val ratioBound: Double? = null,
)

/** A figure and the bound it is held against: [atLeast] or [atMost]. */
@Serializable
public data class TargetReport(
    val name: String,
    val value: Double,
    @SerialName("at_least") val atLeast: Double? = null,
    @SerialName("at_most") val atMost: Double? = null,
) {
    val met: Boolean = (atLeast == null || value >= atLeast) && (atMost == null || value <= atMost)
}

/** Lines to be drawn over time; [marks] are moments to point out. */
public data class ChartData(
    val title: String,
    val unit: String,
    val timeUnit: String,
    val lines: Map<String, List<ChartPoint>>,
    val marks: List<Double> = emptyList(),
)

/** One point of a line. */
public data class ChartPoint(val at: Double, val value: Double)
