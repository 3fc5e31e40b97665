package org.persimmonrelay.routing

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.fairness.FairShareLedger
import org.persimmonrelay.identity.RequestId
import org.persimmonrelay.identity.WorkspaceId
import java.util.PriorityQueue

/**
 * Requests that wait for an engine, by workspace. Within a workspace, retries of requests that may have run come first,
 * then the order is by priority and by arrival. The order of workspaces is up to the ledger. Not thread-safe.
 */
internal class WaitingQueue(private val ledger: FairShareLedger) {
    private class WorkspaceQueue(val requests: PriorityQueue<WaitingRequest>, var cost: Double)

    private val byWorkspace = HashMap<WorkspaceId, WorkspaceQueue>()
    private val byId = HashMap<RequestId, WaitingRequest>()
    private val byExpiry = PriorityQueue<WaitingRequest>(compareBy { it.expiresAt })

    var totalCost: Double = 0.0
        private set

    val isEmpty: Boolean
        get() = byId.isEmpty()

    val size: Int
        get() = byId.size

    fun add(waiting: WaitingRequest) {
        val workspace = waiting.request.workspace
        val queue = byWorkspace.getOrPut(workspace) { WorkspaceQueue(PriorityQueue(ORDER), 0.0) }
        if (queue.requests.isEmpty()) ledger.waiting(workspace, waiting.request.weight)
        queue.requests += waiting
        queue.cost += waiting.cost
        totalCost += waiting.cost
        byId.put(waiting.request.id, waiting)?.let(::drop)
        byExpiry += waiting
    }

    fun head(workspace: WorkspaceId): WaitingRequest? = byWorkspace[workspace]?.requests?.peek()

    fun count(workspace: WorkspaceId): Int = byWorkspace[workspace]?.requests?.size ?: 0

    fun cost(workspace: WorkspaceId): Double = byWorkspace[workspace]?.cost ?: 0.0

    fun remove(id: RequestId): WaitingRequest? {
        val waiting = byId.remove(id) ?: return null
        drop(waiting)
        return waiting
    }

    /** Removes and returns the requests that have expired. */
    fun expired(now: Moment): List<WaitingRequest> {
        val found = ArrayList<WaitingRequest>(0)
        var first = earliest()
        while (first != null && first.expiresAt <= now) {
            remove(first.request.id)
            found += first
            first = earliest()
        }
        return found
    }

    /** When the next request expires; null if none waits. */
    fun nextExpiry(): Moment? = earliest()?.expiresAt

    private fun earliest(): WaitingRequest? {
        while (byExpiry.peek()?.removed == true) byExpiry.poll()
        return byExpiry.peek()
    }

    private fun drop(waiting: WaitingRequest) {
        waiting.removed = true
        val workspace = waiting.request.workspace
        val queue = byWorkspace[workspace] ?: return
        queue.requests.remove(waiting)
        queue.cost -= waiting.cost
        totalCost = maxOf(0.0, totalCost - waiting.cost)
        if (queue.requests.isNotEmpty()) return
        byWorkspace.remove(workspace)
        ledger.idle(workspace)
    }

    private companion object {
        val ORDER: Comparator<WaitingRequest> =
            compareBy<WaitingRequest> { it.neverRan }.thenByDescending { it.request.priority }.thenBy { it.sequence }
    }
}
