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
            promptsRead = grown(before.promptsRead, total.promptsRead),
            cachedTokens = grown(before.cachedTokens, total.cachedTokens),
            limitEnded = grown(before.limitEnded, total.limitEnded),
            writtenTokens = grown(before.writtenTokens, total.writtenTokens),
        )
    }

    private fun grown(before: Double, now: Double) = maxOf(0.0, now - before)
}
