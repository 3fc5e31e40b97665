/*
 * Start-time fair queueing over the nodes of a pool. Each workspace has a virtual time: the engine seconds it
 * used on any node, divided by its weight. The backlogged workspace with the least virtual time goes first.
 * A workspace that was idle restarts shortly before the time of the one served last: idleness earns little credit.
 */
package org.persimmonrelay.fairness

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.DeploymentId
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.WorkspaceId
import java.util.PriorityQueue
import java.util.TreeSet
import kotlin.math.exp
import kotlin.time.DurationUnit

/** Consumption of one deployment by workspace, over all nodes as far as told. Not thread-safe. */
public class FairShareLedger(private val settings: FairShareSettings = FairShareSettings()) {
    private class Told(val incarnation: Incarnation, val sequence: Long)

    private val accounts = HashMap<WorkspaceId, ShareAccount>()
    private val backlogged = TreeSet<ShareAccount>(compareBy({ it.virtualTime }, { it.workspace.value }))
    private val newest = HashMap<NodeId, Told>()
    private val parts = FairParts()
    private var systemTime = 0.0
    private var startedCost = 0.0
    private var served = 0.0
    private var measuredAt: Moment? = null
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

    /** This node's part of the pool when the pool is full, 0 to 1. */
    public val part: Double
        get() = parts.part

    /** A request of [workspace] arrived that would cost [cost] engine seconds, whether it is refused or not. */
    public fun asked(workspace: WorkspaceId, weight: Int, cost: Double) {
        account(workspace, weight).asked += cost
    }

    /** A request of [workspace] starts here that costs [cost] engine seconds and [tokens], as estimated. */
    public fun started(workspace: WorkspaceId, weight: Int, cost: Double, tokens: Long) {
        val account = account(workspace, weight)
        if (account.waiting) systemTime = maxOf(systemTime, account.virtualTime)
        account.running++
        startedCost += cost
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

    /** What to tell the peers now; to be called about once a second, also when there are no peers. */
    public fun summary(node: NodeId, incarnation: Incarnation, deployment: DeploymentId, now: Moment): ShareSummary {
        measure(now)
        val top = mostToTell()
        val restDemand = accounts.values.sumOf { it.demand } - top.sumOf { it.demand }
        val entries = top.map { it.tell() }
        val summary = ShareSummary(node, incarnation, ++sequence, deployment, entries, maxOf(0.0, restDemand), served)
        parts.update(summary, now)
        accounts.values.removeIf { it.settled() && it.virtualTime <= oldest }
        return summary
    }

    /** Takes in what a peer told; false when the summary is a repeated or an overtaken one and has no effect. */
    public fun absorb(summary: ShareSummary, now: Moment): Boolean {
        val last = newest[summary.node]
        if (last != null && last.incarnation == summary.incarnation && last.sequence >= summary.sequence) return false
        newest[summary.node] = Told(summary.incarnation, summary.sequence)
        parts.told(summary, now)
        summary.top.forEach { entry -> move(account(entry.workspace, null), entry.cost) }
        return true
    }

    private fun mostToTell(): List<ShareAccount> {
        val top = PriorityQueue<ShareAccount>(compareBy { it.toTell })
        for (account in accounts.values) {
            if (account.toTell == 0.0) continue
            if (top.size < settings.summaryEntries) {
                top += account
            } else if (account.toTell > top.element().toTell) {
                top.remove()
                top += account
            }
        }
        return top.toList()
    }

    private fun measure(now: Moment) {
        val before = measuredAt
        measuredAt = now
        if (before == null) return
        val seconds = (now - before).toDouble(DurationUnit.SECONDS)
        if (seconds <= 0) return
        val gain = 1 - exp(-seconds / settings.demandSeconds)
        accounts.values.forEach { it.measure(seconds, gain) }
        served += (startedCost / seconds - served) * gain
        startedCost = 0.0
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
}
