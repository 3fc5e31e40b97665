/*
 * Chooses engines by expected time to first token. Two engines drawn at random and the one that the prefix
 * belongs to are compared; when none has room, all are looked at, so that no engine idles while work waits.
 */
package org.persimmonrelay.routing

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.engine.EngineRole
import org.persimmonrelay.fairness.FairShareLedger
import kotlin.random.Random

/** A choice and what was expected of it. */
internal data class Choice(
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

    /** The best placement with room now, or null. Engines of the domain to avoid are taken only if no other stands. */
    fun choose(waiting: Waiting, now: Moment): Choice? {
        val avoid = waiting.avoidDomain ?: return chooseAmong(pool.prefillers, pool.groups, waiting, now)
        val others = pool.groups.filter { it.domain != avoid }
        if (others.isEmpty()) return chooseAmong(pool.prefillers, pool.groups, waiting, now)
        return chooseAmong(others.flatMap { it.engines }, others, waiting, now)
    }

    private fun chooseAmong(
        engines: List<EngineEstimate>,
        groups: List<EngineGroup>,
        waiting: Waiting,
        now: Moment,
    ): Choice? {
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

    private fun better(one: Choice?, other: Choice?): Choice? {
        if (one == null) return other
        if (other == null) return one
        return if (other.firstTokenSeconds < one.firstTokenSeconds) other else one
    }

    private fun consider(engine: EngineEstimate, waiting: Waiting, now: Moment): Choice? {
        if (!engine.hasPrefillRoom(now) || !pool.usable(engine, now)) return null
        val decode = chooseDecode(engine, waiting, now) ?: return null
        val blocks = waiting.request.prefixBlocks
        val cached = minOf(prefixes.held(engine.id, blocks) * profile.blockTokens, waiting.promptTokens - 1)
        val reading = engine.prefillSeconds(waiting.promptTokens - cached)
        val region = if (engine.server.region == settings.region) 0.0 else settings.regionSeconds
        val transfer = if (decode === engine) 0.0 else profile.transferSeconds(waiting.promptTokens)
        val expected = engine.prefillWait() + reading + region + transfer
        return Choice(engine, decode, cached, expected)
    }

    /** Where to decode within the failure domain: a few engines are compared, all if none of them has room. */
    private fun chooseDecode(prefill: EngineEstimate, waiting: Waiting, now: Moment): EngineEstimate? {
        val engines = pool.decoders(prefill.server.domain)
        if (engines.size <= FEW_ENGINES) return bestDecode(engines, prefill, waiting, now)
        val few = List(settings.samples) { engines[random.nextInt(engines.size)] }
        val own = if (prefill.canDecode()) few + prefill else few
        return bestDecode(own, prefill, waiting, now) ?: bestDecode(engines, prefill, waiting, now)
    }

    private fun bestDecode(
        engines: List<EngineEstimate>,
        prefill: EngineEstimate,
        waiting: Waiting,
        now: Moment,
    ): EngineEstimate? {
        val favoured = ledger.lead(waiting.request.workspace) < FAVOURED_LEAD_SECONDS
        val open = engines.filter { it.hasDecodeRoom(waiting.kvTokens, favoured, now) && pool.usable(it, now) }
        return open.minByOrNull { it.stepSeconds(now) + movePenalty(prefill, it) }
    }

    /** What it costs to decode elsewhere, as seconds between tokens; twice that if it disturbs a mixed engine. */
    private fun movePenalty(prefill: EngineEstimate, decode: EngineEstimate): Double = when {
        decode === prefill -> 0.0
        prefill.role == EngineRole.PREFILL && decode.role == EngineRole.MIXED -> 2 * MOVE_PENALTY_SECONDS
        else -> MOVE_PENALTY_SECONDS
    }

    private companion object {
        /** A move of the KV cache has to shorten each step by this much to be worth it. */
        const val MOVE_PENALTY_SECONDS = 0.004

        /** A workspace that used this much less than its share is favoured. */
        const val FAVOURED_LEAD_SECONDS = -0.5

        /** Up to this many engines are all compared. */
        const val FEW_ENGINES = 8
    }
}
