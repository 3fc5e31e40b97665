package org.persimmonrelay.fairness

import org.persimmonrelay.identity.WorkspaceId

/** One workspace in the ledger. [virtualTime] is in engine seconds per unit of weight. */
internal class ShareAccount(val workspace: WorkspaceId, var weight: Int, var virtualTime: Double) {
    var waiting = false
    var running = 0
    var untoldCost = 0.0
    var untoldTokens = 0L

    /** True when nothing runs, waits or is still to be told. */
    fun settled(): Boolean = !waiting && running == 0 && untoldCost == 0.0 && untoldTokens == 0L

    fun tell(): ShareEntry {
        val entry = ShareEntry(workspace, untoldCost, untoldTokens, running)
        untoldCost = 0.0
        untoldTokens = 0
        return entry
    }
}
