package org.persimmonrelay.node

import org.persimmonrelay.routing.Demand

/**
 * Turns growing totals into the work since the last look. A total that shrinks, since a node left with its part,
 * counts as no work.
 */
internal class DemandDifference {
    private var last: Demand? = null

    /** The work since the last call; none at the first. */
    fun since(total: Demand): Demand {
        val before = last ?: total
        last = total
        return Demand(
            promptTokens = grown(before.promptTokens, total.promptTokens),
            outputLimit = grown(before.outputLimit, total.outputLimit),
            prefilledTokens = grown(before.prefilledTokens, total.prefilledTokens),
            cachedTokens = grown(before.cachedTokens, total.cachedTokens),
            endedOutputLimit = grown(before.endedOutputLimit, total.endedOutputLimit),
            generatedTokens = grown(before.generatedTokens, total.generatedTokens),
        )
    }

    private fun grown(before: Double, now: Double) = maxOf(0.0, now - before)
}
