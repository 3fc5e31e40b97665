package org.persimmonrelay.fleet.plan

import org.persimmonrelay.routing.Demand
import kotlin.math.exp

/** Share of prompt tokens that need prefill and of the output limit that is generated, from recent requests. */
internal class WorkRatios {
    private var recent = Demand.NONE

    /** False until requests have ended. */
    val isKnown: Boolean
        get() = recent.limitEnded > 0 && recent.promptsRead > 0

    val prefillShare: Double
        get() = if (recent.promptsRead > 0) 1 - recent.cachedTokens / recent.promptsRead else 1.0

    val generatedShare: Double
        get() = if (recent.limitEnded > 0) recent.writtenTokens / recent.limitEnded else 1.0

    fun observe(demand: Demand, seconds: Double) {
        val decay = exp(-seconds / TIME_CONSTANT_SECONDS)
        recent =
            Demand(
                promptsRead = recent.promptsRead * decay + demand.promptsRead,
                cachedTokens = recent.cachedTokens * decay + demand.cachedTokens,
                limitEnded = recent.limitEnded * decay + demand.limitEnded,
                writtenTokens = recent.writtenTokens * decay + demand.writtenTokens,
            )
    }

    private companion object {
        const val TIME_CONSTANT_SECONDS = 60.0
    }
}
