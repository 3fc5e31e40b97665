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
 * Enforces the limits that operators set for workspaces, counting the consumption that peers report.
 *
 * Token buckets refill evenly and hold the tokens of one minute, which may be used at once. Not thread-safe.
 */
public class LimitManager {
    private data class BucketKey(val limit: String, val workspace: WorkspaceId)

    private class Bucket(var tokens: Double, var filledAt: Moment)

    private val buckets = HashMap<BucketKey, Bucket>()
    private val running = HashMap<WorkspaceId, Int>()
    private val runningOnPeers = HashMap<WorkspaceId, HashMap<NodeId, Int>>()
    private val knownLimits = HashMap<WorkspaceId, List<Limit>>()

    /** Null if a request of [tokens] may start now; otherwise the refusal, with the time to retry after. */
    public fun check(workspace: WorkspaceId, limits: List<Limit>, tokens: Long, now: Moment): Refusal.NotRun? {
        if (limits.isEmpty()) {
            knownLimits.remove(workspace)
            return null
        }
        knownLimits[workspace] = limits
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

    /** Counts the consumption that a peer reports, for workspaces whose limits this node knows from their requests. */
    public fun merge(summary: ShareSummary, now: Moment) {
        summary.top.forEach { entry ->
            val limits = knownLimits[entry.workspace] ?: return@forEach
            runningOnPeers.getOrPut(entry.workspace) { HashMap() }[summary.node] = entry.running
            limits.forEach { limit -> bucket(entry.workspace, limit, now)?.let { it.tokens -= entry.tokens } }
        }
    }

    private fun checkOne(workspace: WorkspaceId, limit: Limit, tokens: Long, now: Moment): Refusal.NotRun? {
        val maxRequests = limit.concurrentRequests
        if (maxRequests != null && runningOf(workspace) >= maxRequests) return refusal(limit, 1.0)
        val perMinute = limit.tokensPerMinute ?: return null
        val available = bucket(workspace, limit, now)?.tokens ?: return null
        val missing = minOf(tokens, perMinute) - available
        return if (missing > 0) refusal(limit, missing * SECONDS_PER_MINUTE / maxOf(1, perMinute)) else null
    }

    private fun runningOf(workspace: WorkspaceId): Int =
        (running[workspace] ?: 0) + (runningOnPeers[workspace]?.values?.sum() ?: 0)

    private fun bucket(workspace: WorkspaceId, limit: Limit, now: Moment): Bucket? {
        val perMinute = limit.tokensPerMinute ?: return null
        val bucket = buckets.getOrPut(BucketKey(limit.name, workspace)) { Bucket(perMinute.toDouble(), now) }
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
