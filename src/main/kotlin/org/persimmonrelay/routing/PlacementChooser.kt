/*
 * Chooses engines by expected time to first token. Two engines drawn at random and the one that the prefix
 * belongs to are compared; when none has room, all are looked at, so that no engine idles while work waits.
 */
package org.persimmonrelay.routing

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.engine.EngineRole
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
    private val random: Random,
) {
    private val profile = settings.engine

    /** The best placement with room now, or null. Engines of [avoidDomain] are taken only if no other stands. */
    fun choose(waiting: Waiting, now: Moment): Choice? {
        val all = pool.prefillers
        if (all.isEmpty()) return null
        val avoid = waiting.avoidDomain
        if (avoid == null || all.none { it.server.domain != avoid }) return chooseAmong(all, waiting, now)
        return chooseAmong(all.filter { it.server.domain != avoid }, waiting, now)
    }

    private fun chooseAmong(engines: List<EngineEstimate>, waiting: Waiting, now: Moment): Choice? {
        var best = prefixes.affinity(engines, waiting.request.prefixBlocks)?.let { consider(it, waiting, now) }
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

    /** Where to decode within the failure domain: the engine with the shortest step that has room. */
    private fun chooseDecode(prefill: EngineEstimate, waiting: Waiting, now: Moment): EngineEstimate? {
        val tokens = waiting.kvTokens
        var best: EngineEstimate? = null
        var bestSeconds = Double.MAX_VALUE
        for (engine in pool.decoders(prefill.server.domain)) {
            if (!engine.hasDecodeRoom(tokens, now) || !pool.usable(engine, now)) continue
            val moved = if (engine === prefill) 0.0 else MOVE_PENALTY_SECONDS
            val mixed = if (prefill.role == EngineRole.PREFILL && engine.role == EngineRole.MIXED) moved else 0.0
            val seconds = engine.stepSeconds(now) + moved + mixed
            if (seconds < bestSeconds) {
                best = engine
                bestSeconds = seconds
            }
        }
        return best
    }

    private companion object {
        /** A move of the KV cache has to shorten each step by this much to be worth it. */
        const val MOVE_PENALTY_SECONDS = 0.004
    }
}
