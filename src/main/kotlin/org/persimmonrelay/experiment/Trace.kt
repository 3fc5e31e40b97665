package org.persimmonrelay.experiment

/** One request of a trace. [at] is in seconds; [reusable] counts leading prompt tokens that came earlier in it. */
internal class TraceRequest(
    val number: Int,
    val at: Double,
    val region: Int,
    val workspace: Int,
    val promptTokens: Int,
    val outputTokens: Int,
    val maxOutputTokens: Int,
    val prefixBlocks: LongArray,
    val reusable: Int,
)

/** Servers of a deployment in one failure domain; one domain per region. */
internal data class DomainSpec(val domain: String, val region: String, val servers: Int)

/** A deployment as a scenario runs it. Bounds are those that its operators state. */
internal data class DeploymentSpec(
    val name: String,
    val domains: List<DomainSpec>,
    val firstTokenSeconds: Double,
    val betweenTokensSeconds: Double,
) {
    val servers: Int
        get() = domains.sumOf { it.servers }
}

/** A deployment's requests in order of arrival, over [seconds]. */
internal class Trace(
    val deployment: DeploymentSpec,
    val seconds: Double,
    val workspaces: Int,
    val requests: List<TraceRequest>,
)
