package org.persimmonrelay.fleet.plan

import org.persimmonrelay.routing.Demand
import kotlin.math.exp

/** How much of the prompts has to be read and of the allowed output is written, from what ended lately. */
internal class WorkRatios {
    private var lately = Demand.NONE

    /** False until some answers ended. */
    val known: Boolean
        get() = lately.limitEnded > 0 && lately.promptsRead > 0

    val readShare: Double
        get() = if (lately.promptsRead > 0) 1 - lately.cachedTokens / lately.promptsRead else 1.0

    val writtenShare: Double
        get() = if (lately.limitEnded > 0) lately.writtenTokens / lately.limitEnded else 1.0

    fun observe(demand: Demand, seconds: Double) {
        val kept = exp(-seconds / MEMORY_SECONDS)
        lately =
            Demand(
                promptsRead = lately.promptsRead * kept + demand.promptsRead,
                cachedTokens = lately.cachedTokens * kept + demand.cachedTokens,
                limitEnded = lately.limitEnded * kept + demand.limitEnded,
                writtenTokens = lately.writtenTokens * kept + demand.writtenTokens,
            )
    }

    private companion object {
        const val MEMORY_SECONDS = 60.0
    }
}
