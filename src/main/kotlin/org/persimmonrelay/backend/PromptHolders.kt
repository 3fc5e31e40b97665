package org.persimmonrelay.backend

import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.Region
import org.persimmonrelay.route.EngineSpec
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Which engines keep the start of one prompt, and from which of them another could copy it. */
internal class PromptHolders(
    private val regions: Map<FailureDomain, Region>,
    private val engine: EngineSpec?,
    kept: Map<BackendServer, Int>,
) {
    private val holders = kept.entries.sortedByDescending { it.value }.take(MOST_HOLDERS)

    /**
     * The copy that leaves [to], which keeps [own] tokens of the prompt itself, soonest with the most of it; null where
     * reading the rest, at [readPerToken], is as quick.
     */
    fun fetchFor(to: BackendServer, own: Int, readPerToken: Duration): PromptFetch? {
        if (engine == null || !engine.canTransferKv) return null
        return holders.filter { it.key !== to && it.value - own >= LEAST_TOKENS }
            .map { (from, tokens) -> PromptFetch(from, tokens - own, takes(from.domain, to.domain, tokens - own)) }
            .maxByOrNull { readPerToken * it.tokens - it.takes }
            ?.takeIf { it.takes < readPerToken * it.tokens * WORTHWHILE_SHARE }
    }

    private fun takes(from: FailureDomain, to: FailureDomain, tokens: Int): Duration {
        val slowdown = when {
            from == to -> 1
            regions[from] == regions[to] -> OTHER_DOMAIN_SLOWDOWN
            else -> OTHER_REGION_SLOWDOWN
        }
        return SETUP + requireNotNull(engine).kvTransferTime(tokens) * slowdown
    }

    private companion object {
        const val MOST_HOLDERS = 8
        const val LEAST_TOKENS = 256
        const val OTHER_DOMAIN_SLOWDOWN = 2
        const val OTHER_REGION_SLOWDOWN = 10

        /** Links carry one copy after another, so a copy must take well under the time that it saves. */
        const val WORTHWHILE_SHARE = 0.6
        val SETUP = 4.milliseconds
    }
}
