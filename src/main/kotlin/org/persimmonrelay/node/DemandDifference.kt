package org.persimmonrelay.node

import org.persimmonrelay.routing.Demand

/**
 * Computes the demand since the previous call from cumulative totals. A total that shrinks, because a node left and
 * its share is no longer included, counts as no demand.
 */
internal class DemandDifference {
    private var lastTotal: Demand? = null

    /** The increase since the previous call, field by field; zero on the first call. */
    fun since(total: Demand): Demand {
        val previous = lastTotal ?: total
        lastTotal = total
        return Demand(
            promptTokens = increase(previous.promptTokens, total.promptTokens),
            outputLimit = increase(previous.outputLimit, total.outputLimit),
            prefilledTokens = increase(previous.prefilledTokens, total.prefilledTokens),
            cachedTokens = increase(previous.cachedTokens, total.cachedTokens),
            endedOutputLimit = increase(previous.endedOutputLimit, total.endedOutputLimit),
            generatedTokens = increase(previous.generatedTokens, total.generatedTokens),
        )
    }

    private fun increase(previous: Double, now: Double) = maxOf(0.0, now - previous)
}
