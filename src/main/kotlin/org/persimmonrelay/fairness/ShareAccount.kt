package org.persimmonrelay.fairness

import org.persimmonrelay.identity.WorkspaceId
import kotlin.math.abs

/**
 * One workspace in the ledger. Costs are in engine seconds, [virtualTime] in engine seconds per unit of weight,
 * [demand] in engine seconds per second.
 */
internal class ShareAccount(val workspace: WorkspaceId, var weight: Int, var virtualTime: Double) {
    var waiting = false
    var running = 0
    var unreportedCost = 0.0
    var unreportedTokens = 0L
    var requestedCost = 0.0
    var demand = 0.0

    /** Priority of this workspace in the next summary: the consumption not yet reported to peers, plus the demand. */
    val summaryPriority: Double
        get() = abs(unreportedCost) + demand

    /** True if the workspace has no running or waiting requests, no demand and nothing left to report. */
    fun isIdle(): Boolean = !waiting && running == 0 && unreportedCost == 0.0 && unreportedTokens == 0L && demand == 0.0

    /** Updates [demand] with the cost requested in the last [seconds], weighted by [gain]. */
    fun measure(seconds: Double, gain: Double) {
        demand += (requestedCost / seconds - demand) * gain
        requestedCost = 0.0
        if (demand < MIN_DEMAND) demand = 0.0
    }

    /** Returns the entry for a summary and resets the unreported consumption. */
    fun takeEntry(): ShareEntry {
        val entry = ShareEntry(workspace, weight, unreportedCost, unreportedTokens, running, demand)
        unreportedCost = 0.0
        unreportedTokens = 0
        return entry
    }

    private companion object {
        const val MIN_DEMAND = 1e-6
    }
}
