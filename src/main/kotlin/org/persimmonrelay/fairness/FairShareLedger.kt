/*
 * Start-time fair queueing over the nodes of a pool. Each workspace has a virtual time: the engine seconds it
 * used on any node, divided by its weight. The backlogged workspace with the least virtual time goes first.
 * A workspace that was idle restarts shortly before the time of the one served last: idleness earns little credit.
 */
package org.persimmonrelay.fairness

import org.persimmonrelay.identity.DeploymentId
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.WorkspaceId
import java.util.TreeSet

/** Consumption of one deployment by workspace, over all nodes as far as told. Not thread-safe. */
public class FairShareLedger(private val settings: FairShareSettings = FairShareSettings()) {
    private class Told(val incarnation: Incarnation, val sequence: Long)

    private val accounts = HashMap<WorkspaceId, ShareAccount>()
    private val backlogged = TreeSet<ShareAccount>(compareBy({ it.virtualTime }, { it.workspace.value }))
    private val newest = HashMap<NodeId, Told>()
    private var systemTime = 0.0
    private var sequence = 0L

    /** Virtual time at which a workspace restarts that was idle for long. */
    private val oldest: Double
        get() = systemTime - settings.idleCreditSeconds

    /** Sum of the weights of the workspaces that have requests waiting here. */
    public var backloggedWeight: Int = 0
        private set

    /** [workspace] has requests waiting from now on. */
    public fun waiting(workspace: WorkspaceId, weight: Int) {
        val account = account(workspace, weight)
        if (account.waiting) return
        account.waiting = true
        account.virtualTime = account.virtualTime.coerceIn(oldest, systemTime + settings.maxLeadSeconds)
        backlogged += account
        backloggedWeight += account.weight
    }

    /** [workspace] has no requests waiting any more. */
    public fun idle(workspace: WorkspaceId) {
        val account = accounts[workspace] ?: return
        if (!account.waiting) return
        backlogged -= account
        backloggedWeight -= account.weight
        account.waiting = false
    }

    /** Workspaces with requests waiting, the one to serve next first. */
    public fun order(): Sequence<WorkspaceId> = backlogged.asSequence().map { it.workspace }

    /** A request of [workspace] starts here that costs [cost] engine seconds and [tokens], as estimated. */
    public fun started(workspace: WorkspaceId, weight: Int, cost: Double, tokens: Long) {
        val account = account(workspace, weight)
        if (account.waiting) systemTime = maxOf(systemTime, account.virtualTime)
        account.running++
        use(account, cost, tokens)
    }

    /** A request ended; [costDelta] and [tokensDelta] correct the estimates given at its start. */
    public fun ended(workspace: WorkspaceId, costDelta: Double, tokensDelta: Long) {
        val account = accounts[workspace] ?: return
        account.running = maxOf(0, account.running - 1)
        use(account, costDelta, tokensDelta)
    }

    /** Engine seconds per unit of weight that [workspace] is ahead of the one served last. */
    public fun lead(workspace: WorkspaceId): Double = (accounts[workspace]?.virtualTime ?: oldest) - systemTime

    /** What to tell the peers now. */
    public fun summary(node: NodeId, incarnation: Incarnation, deployment: DeploymentId): ShareSummary {
        val due = accounts.values.filter { it.untoldCost != 0.0 || it.untoldTokens != 0L }
        val top = due.sortedByDescending { it.untoldCost }.take(settings.summaryEntries)
        val entries = top.map { it.tell() }
        forgetIdle()
        return ShareSummary(node, incarnation, ++sequence, deployment, entries, due.sumOf { it.untoldCost })
    }

    /** Takes in what a peer told; false when the summary is a repeated or an overtaken one and has no effect. */
    public fun absorb(summary: ShareSummary): Boolean {
        val last = newest[summary.node]
        if (last != null && last.incarnation == summary.incarnation && last.sequence >= summary.sequence) return false
        newest[summary.node] = Told(summary.incarnation, summary.sequence)
        summary.top.forEach { entry -> move(account(entry.workspace, null), entry.cost) }
        return true
    }

    private fun use(account: ShareAccount, cost: Double, tokens: Long) {
        account.untoldCost += cost
        account.untoldTokens += tokens
        move(account, cost)
    }

    private fun move(account: ShareAccount, cost: Double) {
        if (account.waiting) backlogged -= account
        val moved = account.virtualTime + cost / account.weight
        account.virtualTime = minOf(moved, systemTime + settings.maxLeadSeconds)
        if (account.waiting) backlogged += account
    }

    private fun account(workspace: WorkspaceId, weight: Int?): ShareAccount {
        val account = accounts.getOrPut(workspace) { ShareAccount(workspace, maxOf(1, weight ?: 1), oldest) }
        if (weight != null && !account.waiting) account.weight = maxOf(1, weight)
        return account
    }

    private fun forgetIdle() {
        accounts.values.removeIf { it.settled() && it.virtualTime <= oldest }
    }
}
