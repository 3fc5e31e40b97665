package org.persimmonrelay.fairness

import org.persimmonrelay.catalog.Limit
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.WorkspaceId
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Holds workspaces to the limits that operators set, over all nodes as far as peers told.
 *
 * Tokens refill evenly; a whole minute's tokens may be used at once. Not thread-safe.
 */
public class LimitManager {
    private data class Place(val limit: String, val workspace: WorkspaceId)

    private class Bucket(var tokens: Double, var filledAt: Moment)

    private val buckets = HashMap<Place, Bucket>()
    private val running = HashMap<WorkspaceId, Int>()
    private val runningElsewhere = HashMap<WorkspaceId, HashMap<NodeId, Int>>()
    private val known = HashMap<WorkspaceId, List<Limit>>()

    /** Null when a request of [tokens] may start now; the refusal says when to come back. */
    public fun check(workspace: WorkspaceId, limits: List<Limit>, tokens: Long, now: Moment): Refusal.NotRun? {
        if (limits.isEmpty()) {
            known.remove(workspace)
            return null
        }
        known[workspace] = limits
        return limits.firstNotNullOfOrNull { checkOne(workspace, it, tokens, now) }
    }

    /** A request of [tokens] starts. */
    public fun started(workspace: WorkspaceId, limits: List<Limit>, tokens: Long, now: Moment) {
        running.merge(workspace, 1, Int::plus)
        limits.forEach { limit -> bucket(workspace, limit, now)?.let { it.tokens -= tokens } }
    }

    /** A request ended; [tokensDelta] corrects the estimate given at its start. */
    public fun ended(workspace: WorkspaceId, limits: List<Limit>, tokensDelta: Long, now: Moment) {
        running.computeIfPresent(workspace) { _, count -> if (count <= 1) null else count - 1 }
        limits.forEach { limit -> bucket(workspace, limit, now)?.let { it.tokens -= tokensDelta } }
    }

    /** Counts what a peer told, for the workspaces whose limits this node knows from their requests. */
    public fun absorb(summary: ShareSummary, now: Moment) {
        summary.top.forEach { entry ->
            val limits = known[entry.workspace] ?: return@forEach
            runningElsewhere.getOrPut(entry.workspace) { HashMap() }[summary.node] = entry.running
            limits.forEach { limit -> bucket(entry.workspace, limit, now)?.let { it.tokens -= entry.tokens } }
        }
    }

    private fun checkOne(workspace: WorkspaceId, limit: Limit, tokens: Long, now: Moment): Refusal.NotRun? {
        val most = limit.concurrentRequests
        if (most != null && runningOf(workspace) >= most) return refusal(limit, 1.0)
        val perMinute = limit.tokensPerMinute ?: return null
        val held = bucket(workspace, limit, now)?.tokens ?: return null
        val missing = minOf(tokens, perMinute) - held
        return if (missing > 0) refusal(limit, missing * SECONDS_PER_MINUTE / maxOf(1, perMinute)) else null
    }

    private fun runningOf(workspace: WorkspaceId): Int =
        (running[workspace] ?: 0) + (runningElsewhere[workspace]?.values?.sum() ?: 0)

    private fun bucket(workspace: WorkspaceId, limit: Limit, now: Moment): Bucket? {
        val perMinute = limit.tokensPerMinute ?: return null
        val bucket = buckets.getOrPut(Place(limit.name, workspace)) { Bucket(perMinute.toDouble(), now) }
        val elapsed = maxOf(0.0, (now - bucket.filledAt).toDouble(DurationUnit.SECONDS))
        bucket.tokens = minOf(perMinute.toDouble(), bucket.tokens + elapsed * perMinute / SECONDS_PER_MINUTE)
        bucket.filledAt = now
        return bucket
    }

    private fun refusal(limit: Limit, retrySeconds: Double) = Refusal.NotRun(
        NotRunReason.WORKSPACE_LIMIT,
        "The limit ${limit.name} is used up; try again after the given time or ask the operator to raise it.",
        maxOf(1.0, retrySeconds).seconds,
    )

    private companion object {
        const val SECONDS_PER_MINUTE = 60.0
    }
}
