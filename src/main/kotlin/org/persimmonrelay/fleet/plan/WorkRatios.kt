package org.persimmonrelay.fleet.plan

import org.persimmonrelay.routing.Demand
import kotlin.math.exp

/** How much of the prompts has to be read and of the allowed output is written, from what ended lately. */
internal class WorkRatios {
    private var lately = Demand.NONE

    /** False until some answers ended. */
    val known: Boolean
        get() = lately.endedOutputLimit > 0 && lately.prefilledTokens > 0

    val readShare: Double
        get() = if (lately.prefilledTokens > 0) 1 - lately.cachedTokens / lately.prefilledTokens else 1.0

    val writtenShare: Double
        get() = if (lately.endedOutputLimit > 0) lately.generatedTokens / lately.endedOutputLimit else 1.0

    fun observe(demand: Demand, seconds: Double) {
        val kept = exp(-seconds / MEMORY_SECONDS)
        lately =
            Demand(
                prefilledTokens = lately.prefilledTokens * kept + demand.prefilledTokens,
                cachedTokens = lately.cachedTokens * kept + demand.cachedTokens,
                endedOutputLimit = lately.endedOutputLimit * kept + demand.endedOutputLimit,
                generatedTokens = lately.generatedTokens * kept + demand.generatedTokens,
            )
    }

    private companion object {
        const val MEMORY_SECONDS = 60.0
    }
}
