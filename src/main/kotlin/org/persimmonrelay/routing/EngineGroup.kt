package org.persimmonrelay.routing

/** The engines of one failure domain that run prefill and take new requests; never empty. */
internal class EngineGroup(val domain: String, val engines: List<EngineEstimate>) {
    val seed: Long = PrefixDirectory.mix(domain.hashCode().toLong())
}
