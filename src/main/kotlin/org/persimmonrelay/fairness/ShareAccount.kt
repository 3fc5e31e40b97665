package org.persimmonrelay.fairness

import org.persimmonrelay.identity.WorkspaceId
import kotlin.math.abs

/** One workspace in the ledger. [virtualTime] is in engine seconds per unit of weight. */
internal class ShareAccount(val workspace: WorkspaceId, var weight: Int, var virtualTime: Double) {
    var waiting = false
    var running = 0
    var untoldCost = 0.0
    var untoldTokens = 0L
    var asked = 0.0
    var demand = 0.0

    /** How much the peers miss by not hearing of this workspace now. */
    val toTell: Double
        get() = abs(untoldCost) + demand

    /** True when nothing runs, waits or is still to be told. */
    fun settled(): Boolean = !waiting && running == 0 && untoldCost == 0.0 && untoldTokens == 0L && demand == 0.0

    /** Brings the rate of demand up to date; [gain] weighs the last [seconds]. */
    fun measure(seconds: Double, gain: Double) {
        demand += (asked / seconds - demand) * gain
        asked = 0.0
        if (demand < LEAST_DEMAND) demand = 0.0
    }

    fun tell(): ShareEntry {
        val entry = ShareEntry(workspace, weight, untoldCost, untoldTokens, running, demand)
        untoldCost = 0.0
        untoldTokens = 0
        return entry
    }

    private companion object {
        const val LEAST_DEMAND = 1e-6
    }
}
