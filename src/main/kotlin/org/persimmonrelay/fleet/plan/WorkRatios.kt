package org.persimmonrelay.fleet.plan

import org.persimmonrelay.routing.Demand
import kotlin.math.exp

/** Share of prompt tokens that need prefill and of the output limit that is generated, from recent requests. */
internal class WorkRatios {
    private var recent = Demand.NONE

    /** False until requests have ended. */
    val isKnown: Boolean
        get() = recent.endedOutputLimit > 0 && recent.prefilledTokens > 0

    val prefillShare: Double
        get() = if (recent.prefilledTokens > 0) 1 - recent.cachedTokens / recent.prefilledTokens else 1.0

    val generatedShare: Double
        get() = if (recent.endedOutputLimit > 0) recent.generatedTokens / recent.endedOutputLimit else 1.0

    fun observe(demand: Demand, seconds: Double) {
        val decay = exp(-seconds / TIME_CONSTANT_SECONDS)
        recent =
            Demand(
                prefilledTokens = recent.prefilledTokens * decay + demand.prefilledTokens,
                cachedTokens = recent.cachedTokens * decay + demand.cachedTokens,
                endedOutputLimit = recent.endedOutputLimit * decay + demand.endedOutputLimit,
                generatedTokens = recent.generatedTokens * decay + demand.generatedTokens,
            )
    }

    private companion object {
        const val TIME_CONSTANT_SECONDS = 60.0
    }
}
