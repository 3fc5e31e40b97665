package org.persimmonrelay.routing

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.fairness.FairShareLedger
import org.persimmonrelay.identity.RequestId
import org.persimmonrelay.identity.WorkspaceId
import java.util.PriorityQueue

/**
 * Requests that wait for an engine, by workspace. Within a workspace those that an engine lost come first,
 * then by priority, then by arrival. Which workspace comes next is the ledger's word. Not thread-safe.
 */
internal class WaitingQueue(private val ledger: FairShareLedger) {
    private class Line(val requests: PriorityQueue<Waiting>, var cost: Double)

    private val lines = HashMap<WorkspaceId, Line>()
    private val byId = HashMap<RequestId, Waiting>()
    private val byDeadline = PriorityQueue<Waiting>(compareBy { it.giveUpAt })

    var totalCost: Double = 0.0
        private set

    val isEmpty: Boolean
        get() = byId.isEmpty()

    val size: Int
        get() = byId.size

    fun add(waiting: Waiting) {
        val workspace = waiting.request.workspace
        val line = lines.getOrPut(workspace) { Line(PriorityQueue(ORDER), 0.0) }
        if (line.requests.isEmpty()) ledger.waiting(workspace, waiting.request.weight)
        line.requests += waiting
        line.cost += waiting.cost
        totalCost += waiting.cost
        byId.put(waiting.request.id, waiting)?.let(::drop)
        byDeadline += waiting
    }

    fun head(workspace: WorkspaceId): Waiting? = lines[workspace]?.requests?.peek()

    fun count(workspace: WorkspaceId): Int = lines[workspace]?.requests?.size ?: 0

    fun cost(workspace: WorkspaceId): Double = lines[workspace]?.cost ?: 0.0

    fun remove(id: RequestId): Waiting? {
        val waiting = byId.remove(id) ?: return null
        drop(waiting)
        return waiting
    }

    /** Removes and returns the requests that can't be served in time any more. */
    fun expired(now: Moment): List<Waiting> {
        val found = ArrayList<Waiting>(0)
        var first = earliest()
        while (first != null && first.giveUpAt <= now) {
            remove(first.request.id)
            found += first
            first = earliest()
        }
        return found
    }

    /** When the next request expires, if any waits. */
    fun nextEnd(): Moment? = earliest()?.giveUpAt

    private fun earliest(): Waiting? {
        while (byDeadline.peek()?.gone == true) byDeadline.poll()
        return byDeadline.peek()
    }

    private fun drop(waiting: Waiting) {
        waiting.gone = true
        val workspace = waiting.request.workspace
        val line = lines[workspace] ?: return
        line.requests.remove(waiting)
        line.cost -= waiting.cost
        totalCost = maxOf(0.0, totalCost - waiting.cost)
        if (line.requests.isNotEmpty()) return
        lines.remove(workspace)
        ledger.idle(workspace)
    }

    private companion object {
        val ORDER: Comparator<Waiting> =
            compareBy<Waiting> { it.neverRan }.thenByDescending { it.request.priority }.thenBy { it.sequence }
    }
}
