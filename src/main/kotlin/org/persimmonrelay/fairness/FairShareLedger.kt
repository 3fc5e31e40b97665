/*
 * Start-time fair queueing over the nodes of a pool. Each workspace has a virtual time: the engine seconds it
 * used on any node, divided by its weight. The backlogged workspace with the lowest virtual time is served first.
 * A workspace that was idle restarts shortly before the virtual time of the workspace served last, so that being idle
 * earns little credit.
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

/** Consumption of one deployment by workspace, on this node and as reported by its peers. Not thread-safe. */
public class FairShareLedger(private val settings: FairShareSettings = FairShareSettings()) {
    private class LastSummary(val incarnation: Incarnation, val sequence: Long)

    private val accounts = HashMap<WorkspaceId, ShareAccount>()
    private val backlogged = TreeSet<ShareAccount>(compareBy({ it.virtualTime }, { it.workspace.value }))
    private val lastSummaries = HashMap<NodeId, LastSummary>()
    private val shares = PoolShares()
    private var systemTime = 0.0
    private var startedCost = 0.0
    private var served = 0.0
    private var measuredAt: Moment? = null
    private var sequence = 0L

    /** Virtual time at which a workspace restarts after a long idle time. */
    private val restartTime: Double
        get() = systemTime - settings.idleCreditSeconds

    /** Sum of the weights of the workspaces with requests waiting on this node. */
    public var backloggedWeight: Int = 0
        private set

    /** [workspace] has requests waiting. */
    public fun waiting(workspace: WorkspaceId, weight: Int) {
        val account = account(workspace, weight)
        if (account.waiting) return
        account.waiting = true
        account.virtualTime = account.virtualTime.coerceIn(restartTime, systemTime + settings.maxLeadSeconds)
        backlogged += account
        backloggedWeight += account.weight
    }

    /** [workspace] has no more requests waiting. */
    public fun idle(workspace: WorkspaceId) {
        val account = accounts[workspace] ?: return
        if (!account.waiting) return
        backlogged -= account
        backloggedWeight -= account.weight
        account.waiting = false
    }

    /** Workspaces with requests waiting, in the order in which to serve them. */
    public fun order(): Sequence<WorkspaceId> = backlogged.asSequence().map { it.workspace }

    /** This node's share of the pool when the pool is full, 0 to 1. */
    public val poolShare: Double
        get() = shares.share

    /**
     * A request of [workspace] arrived with an estimated cost of [cost] engine seconds; refused requests count as well.
     */
    public fun recordDemand(workspace: WorkspaceId, weight: Int, cost: Double) {
        account(workspace, weight).requestedCost += cost
    }

    /** A request of [workspace] starts, with an estimated cost of [cost] engine seconds and [tokens]. */
    public fun started(workspace: WorkspaceId, weight: Int, cost: Double, tokens: Long) {
        val account = account(workspace, weight)
        if (account.waiting) systemTime = maxOf(systemTime, account.virtualTime)
        account.running++
        startedCost += cost
        charge(account, cost, tokens)
    }

    /** A request ended; [costDelta] and [tokensDelta] correct the estimates given at its start. */
    public fun ended(workspace: WorkspaceId, costDelta: Double, tokensDelta: Long) {
        val account = accounts[workspace] ?: return
        account.running = maxOf(0, account.running - 1)
        charge(account, costDelta, tokensDelta)
    }

    /** Engine seconds per unit of weight that [workspace] is ahead of the workspace served last; negative if behind. */
    public fun lead(workspace: WorkspaceId): Double = (accounts[workspace]?.virtualTime ?: restartTime) - systemTime

    /**
     * The summary to send to peers. Must be called about once a second, even without peers, as it also updates the
     * rates.
     */
    public fun summary(node: NodeId, incarnation: Incarnation, deployment: DeploymentId, now: Moment): ShareSummary {
        measure(now)
        val top = topAccounts()
        val restDemand = accounts.values.sumOf { it.demand } - top.sumOf { it.demand }
        val entries = top.map { it.takeEntry() }
        val summary = ShareSummary(node, incarnation, ++sequence, deployment, entries, maxOf(0.0, restDemand), served)
        shares.update(summary, now)
        accounts.values.removeIf { it.isIdle() && it.virtualTime <= restartTime }
        return summary
    }

    /**
     * Adds the consumption that a peer reported; false, without effect, if the summary is a duplicate or out of order.
     */
    public fun merge(summary: ShareSummary, now: Moment): Boolean {
        val last = lastSummaries[summary.node]
        if (last != null && last.incarnation == summary.incarnation && last.sequence >= summary.sequence) return false
        lastSummaries[summary.node] = LastSummary(summary.incarnation, summary.sequence)
        shares.record(summary, now)
        summary.top.forEach { entry -> advance(account(entry.workspace, null), entry.cost) }
        return true
    }

    private fun topAccounts(): List<ShareAccount> {
        val top = PriorityQueue<ShareAccount>(compareBy { it.summaryPriority })
        for (account in accounts.values) {
            if (account.summaryPriority == 0.0) continue
            if (top.size < settings.summaryEntries) {
                top += account
            } else if (account.summaryPriority > top.element().summaryPriority) {
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

    private fun charge(account: ShareAccount, cost: Double, tokens: Long) {
        account.unreportedCost += cost
        account.unreportedTokens += tokens
        advance(account, cost)
    }

    private fun advance(account: ShareAccount, cost: Double) {
        if (account.waiting) backlogged -= account
        val advanced = account.virtualTime + cost / account.weight
        account.virtualTime = minOf(advanced, systemTime + settings.maxLeadSeconds)
        if (account.waiting) backlogged += account
    }

    private fun account(workspace: WorkspaceId, weight: Int?): ShareAccount {
        val account = accounts.getOrPut(workspace) { ShareAccount(workspace, maxOf(1, weight ?: 1), restartTime) }
        if (weight != null && !account.waiting) account.weight = maxOf(1, weight)
        return account
    }
}
