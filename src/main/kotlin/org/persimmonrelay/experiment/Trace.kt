package org.persimmonrelay.experiment

/**
 * One request of a trace, arriving [at] seconds after its start. [reusableTokens] is the number of leading prompt
 * tokens that an earlier request of the trace had too.
 */
internal class TraceRequest(
    val number: Int,
    val at: Double,
    val region: Int,
    val workspace: Int,
    val promptTokens: Int,
    val outputTokens: Int,
    val maxOutputTokens: Int,
    val prefixBlocks: LongArray,
    val reusableTokens: Int,
)

/** Servers of a deployment in one failure domain; one domain per region. */
internal data class DomainSpec(val domain: String, val region: String, val servers: Int)

/** A deployment in a scenario, with the operators' latency bounds: time to first token and mean inter-token latency. */
internal data class DeploymentSpec(
    val name: String,
    val domains: List<DomainSpec>,
    val maxFirstTokenSeconds: Double,
    val maxInterTokenSeconds: Double,
) {
    val servers: Int
        get() = domains.sumOf { it.servers }
}

/** The requests to one deployment within [seconds], in order of arrival. */
internal class Trace(
    val deployment: DeploymentSpec,
    val seconds: Double,
    val workspaces: Int,
    val requests: List<TraceRequest>,
)
