package org.persimmonrelay.backend

import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.Region
import org.persimmonrelay.route.EngineSpec
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The engines that have the start of one prompt in their KV cache, and from which of them another engine should copy
 * it. [cachedTokens] are the tokens of the prompt that each server has cached.
 */
internal class PromptCacheHolders(
    private val regions: Map<FailureDomain, Region>,
    private val engine: EngineSpec?,
    cachedTokens: Map<BackendServer, Int>,
) {
    private val holders = cachedTokens.entries.sortedByDescending { it.value }.take(MAX_HOLDERS)

    /**
     * The transfer to [to] that saves the most time, given that [to] itself has [own] tokens of the prompt cached and
     * prefills a token in [prefillPerToken]. Null when no transfer is clearly faster than prefill.
     */
    fun fetchFor(to: BackendServer, own: Int, prefillPerToken: Duration): PromptCacheFetch? {
        if (engine == null || !engine.canTransferKv) return null
        return holders.filter { it.key !== to && it.value - own >= MIN_TOKENS }
            .map { (from, tokens) ->
                PromptCacheFetch(from, tokens - own, duration(from.domain, to.domain, tokens - own))
            }
            .maxByOrNull { prefillPerToken * it.tokens - it.duration }
            ?.takeIf { it.duration < prefillPerToken * it.tokens * MAX_TIME_SHARE }
    }

    private fun duration(from: FailureDomain, to: FailureDomain, tokens: Int): Duration {
        val slowdown = when {
            from == to -> 1
            regions[from] == regions[to] -> OTHER_DOMAIN_SLOWDOWN
            else -> OTHER_REGION_SLOWDOWN
        }
        return SETUP + requireNotNull(engine).kvTransferTime(tokens) * slowdown
    }

    private companion object {
        const val MAX_HOLDERS = 8
        const val MIN_TOKENS = 256
        const val OTHER_DOMAIN_SLOWDOWN = 2
        const val OTHER_REGION_SLOWDOWN = 10

        /**
         * Longest worthwhile transfer, as a share of the prefill time that it saves. Links carry one transfer after
         * another, so a transfer must take much less time than it saves.
         */
        const val MAX_TIME_SHARE = 0.6
        val SETUP = 4.milliseconds
    }
}
