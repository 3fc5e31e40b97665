/*
 * How much work of a given mix a set of engine roles can serve. The KV cache can be transferred from a prefill engine
 * to a decode engine within a failure domain, but not between domains, so each domain is computed alone.
 */
package org.persimmonrelay.fleet.plan

import org.persimmonrelay.engine.EngineRole

/** Counts of engines by role in one failure domain. */
public data class RoleCounts(val prefill: Int, val decode: Int, val mixed: Int) {
    public fun of(role: EngineRole): Int = when (role) {
        EngineRole.PREFILL -> prefill
        EngineRole.DECODE -> decode
        EngineRole.MIXED -> mixed
    }

    internal companion object {
        fun of(roles: Collection<EngineRole>) = RoleCounts(
            roles.count { it == EngineRole.PREFILL },
            roles.count { it == EngineRole.DECODE },
            roles.count { it == EngineRole.MIXED },
        )

        /** All ways to assign roles to [engines] engines. */
        fun all(engines: Int): List<RoleCounts> = (0..engines).flatMap { prefill ->
            (0..engines - prefill).map { decode -> RoleCounts(prefill, decode, engines - prefill - decode) }
        }
    }
}

/** Capacity of roles under a mix. Mixed engines prefill and decode at the efficiencies of [settings]. */
internal class RoleCapacity(private val settings: RoleSettings) {
    /**
     * Work per second, in engine seconds at full efficiency, that [counts] can serve if [promptShare] of it is prefill.
     */
    fun of(counts: RoleCounts, promptShare: Double): Double {
        val prompt = promptShare.coerceIn(MIN_SHARE, 1 - MIN_SHARE)
        val output = 1 - prompt
        if (counts.mixed == 0) return minOf(counts.prefill / prompt, counts.decode / output)
        var low = 0.0
        var high = (counts.prefill + counts.decode + counts.mixed).toDouble()
        repeat(STEPS) {
            val middle = (low + high) / 2
            if (canServe(counts, middle * prompt, middle * output)) low = middle else high = middle
        }
        return low
    }

    private fun canServe(counts: RoleCounts, prompt: Double, output: Double): Boolean {
        val promptLeft = maxOf(0.0, prompt - counts.prefill)
        val outputLeft = maxOf(0.0, output - counts.decode)
        val time = promptLeft / settings.mixedPrefillEfficiency + outputLeft / settings.mixedDecodeEfficiency
        return time <= counts.mixed
    }

    private companion object {
        const val MIN_SHARE = 0.001
        const val STEPS = 20
    }
}
