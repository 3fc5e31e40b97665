package org.persimmonrelay.routing

import org.persimmonrelay.identity.WorkspaceId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Limits retries to a share of the started requests, for the deployment and for each workspace, so that a failing pool
 * gets little more work than a healthy one. The first retry of a request is free. Not thread-safe.
 */
internal class RetryBudget(private val settings: RetrySettings, private val random: Random) {
    private var shared = settings.budgetMost
    private val byWorkspace = HashMap<WorkspaceId, Double>()

    /** A request of [workspace] was started for the first time. */
    fun started(workspace: WorkspaceId) {
        shared = minOf(settings.budgetMost, shared + settings.budgetShare)
        val balance = byWorkspace[workspace] ?: return
        if (balance + settings.budgetShare >= workspaceMax) {
            byWorkspace.remove(workspace)
        } else {
            byWorkspace[workspace] = balance + settings.budgetShare
        }
    }

    /** Consumes the retry after [attempt] attempts from the budget; false if no retry is allowed. */
    fun tryAcquire(workspace: WorkspaceId, attempt: Int): Boolean {
        if (attempt >= settings.maxAttempts) return false
        if (attempt <= 1) return true
        val own = byWorkspace[workspace] ?: workspaceMax
        if (own < 1 || shared < 1) return false
        byWorkspace[workspace] = own - 1
        shared -= 1
        return true
    }

    /** How long to wait before the attempt that follows [attempt] attempts. */
    fun backoff(attempt: Int): Duration {
        val doublings = (attempt - 1).coerceIn(0, MAX_DOUBLINGS)
        return (settings.backoffMillis * (1 shl doublings) * random.nextDouble()).milliseconds
    }

    private val workspaceMax: Double
        get() = settings.budgetMost / 2

    private companion object {
        const val MAX_DOUBLINGS = 8
    }
}
