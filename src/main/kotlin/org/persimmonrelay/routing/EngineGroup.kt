package org.persimmonrelay.routing

/** The engines of one failure domain that read prompts and take new work; never empty. */
internal class EngineGroup(val domain: String, val engines: List<EngineEstimate>) {
    val seed: Long = PrefixDirectory.mix(domain.hashCode().toLong())
}
