/*
 * Chooses engines by expected time to first token. A few engines drawn at random and the one preferred for the prefix
 * are compared. If none of them has room, all are compared, so that no engine is idle while requests wait.
 */
package org.persimmonrelay.routing

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.engine.EngineRole
import org.persimmonrelay.fairness.FairShareLedger
import kotlin.random.Random

/** Chosen engines, with the expected [cachedTokens] of the prompt and seconds to first token. */
internal data class EngineChoice(
    val prefill: EngineEstimate,
    val decode: EngineEstimate,
    val cachedTokens: Int,
    val firstTokenSeconds: Double,
)

internal class PlacementChooser(
    private val settings: RoutingSettings,
    private val pool: EnginePool,
    private val prefixes: PrefixDirectory,
    private val ledger: FairShareLedger,
    private val random: Random,
) {
    private val profile = settings.engine

    /**
     * The best engines that have room now, or null. Engines in the domain to avoid are used only if there are no
     * others.
     */
    fun choose(waiting: WaitingRequest, now: Moment): EngineChoice? {
        val avoid = waiting.avoidDomain ?: return chooseAmong(pool.prefillers, pool.groups, waiting, now)
        val others = pool.groups.filter { it.domain != avoid }
        if (others.isEmpty()) return chooseAmong(pool.prefillers, pool.groups, waiting, now)
        return chooseAmong(others.flatMap { it.engines }, others, waiting, now)
    }

    private fun chooseAmong(
        engines: List<EngineEstimate>,
        groups: List<EngineGroup>,
        waiting: WaitingRequest,
        now: Moment,
    ): EngineChoice? {
        if (engines.isEmpty()) return null
        var best = prefixes.affinity(groups, waiting.request.prefixBlocks)?.let { consider(it, waiting, now) }
        repeat(settings.samples) {
            best = better(best, consider(engines[random.nextInt(engines.size)], waiting, now))
        }
        if (best != null) return best
        val start = random.nextInt(engines.size)
        for (offset in engines.indices) {
            val engine = engines[(start + offset) % engines.size]
            best = better(best, consider(engine, waiting, now))
        }
        return best
    }

    private fun better(one: EngineChoice?, other: EngineChoice?): EngineChoice? {
        if (one == null) return other
        if (other == null) return one
        return if (other.firstTokenSeconds < one.firstTokenSeconds) other else one
    }

    private fun consider(engine: EngineEstimate, waiting: WaitingRequest, now: Moment): EngineChoice? {
        if (!engine.hasPrefillRoom(now) || !pool.usable(engine, now)) return null
        val decode = chooseDecode(engine, waiting, now) ?: return null
        val blocks = waiting.request.prefixBlocks
        val cached = minOf(prefixes.cachedBlocks(engine.id, blocks) * profile.blockTokens, waiting.promptTokens - 1)
        val prefillTime = engine.prefillSeconds(waiting.promptTokens - cached)
        val region = if (engine.server.region == settings.region) 0.0 else settings.regionSeconds
        val transfer = if (decode === engine) 0.0 else profile.transferSeconds(waiting.promptTokens)
        val expected = engine.prefillWait() + prefillTime + region + transfer
        return EngineChoice(engine, decode, cached, expected)
    }

    /**
     * The engine for decode, in the failure domain of [prefill]: the best of a few, or of all if none of them has room.
     */
    private fun chooseDecode(prefill: EngineEstimate, waiting: WaitingRequest, now: Moment): EngineEstimate? {
        val engines = pool.decoders(prefill.server.domain)
        if (engines.size <= FEW_ENGINES) return bestDecode(engines, prefill, waiting, now)
        val few = List(settings.samples) { engines[random.nextInt(engines.size)] }
        val own = if (prefill.canDecode()) few + prefill else few
        return bestDecode(own, prefill, waiting, now) ?: bestDecode(engines, prefill, waiting, now)
    }

    private fun bestDecode(
        engines: List<EngineEstimate>,
        prefill: EngineEstimate,
        waiting: WaitingRequest,
        now: Moment,
    ): EngineEstimate? {
        val prioritized = ledger.lead(waiting.request.workspace) < PRIORITIZED_LEAD_SECONDS
        val open = engines.filter { it.hasDecodeRoom(waiting.kvTokens, prioritized, now) && pool.usable(it, now) }
        return open.minByOrNull { it.stepSeconds(now) + transferPenalty(prefill, it) }
    }

    /** Cost of decode on another engine, in seconds between tokens; twice as high if it slows down a mixed engine. */
    private fun transferPenalty(prefill: EngineEstimate, decode: EngineEstimate): Double = when {
        decode === prefill -> 0.0
        prefill.role == EngineRole.PREFILL && decode.role == EngineRole.MIXED -> 2 * TRANSFER_PENALTY_SECONDS
        else -> TRANSFER_PENALTY_SECONDS
    }

    private companion object {
        /** A KV cache transfer is worthwhile only if it shortens each decode step by this much. */
        const val TRANSFER_PENALTY_SECONDS = 0.004

        /** Workspaces whose use is this far below their share are prioritized. */
        const val PRIORITIZED_LEAD_SECONDS = -0.5

        /** Up to this number of engines, all are compared. */
        const val FEW_ENGINES = 8
    }
}
