package org.persimmonrelay.backend

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.route.ServiceId
import kotlin.time.Duration

/** Limit on the retries of all nodes together in any span of [window]: [ratio] of the requests plus [minimum]. */
public data class RetryBudgetPolicy(val ratio: Double, val minimum: Int, val window: Duration)

/**
 * This node's share of the retry budget, by service: the ratio of its own requests plus an equal share of the minimum,
 * over the last window. Each send of a request after the first is a retry. Confined to the traffic thread.
 */
public class NodeRetryBudget(private val policy: () -> RetryBudgetPolicy, private val nodes: () -> Int) {
    private val requests = HashMap<ServiceId, ArrayDeque<Moment>>()
    private val retries = HashMap<ServiceId, ArrayDeque<Moment>>()

    /** A caller's request for [service] arrived. */
    public fun requestArrived(service: ServiceId, now: Moment) {
        count(requests, service, now).addLast(now)
    }

    /** Consumes one retry to [service] from the budget; false when the budget is used up. */
    public fun tryAcquire(service: ServiceId, now: Moment): Boolean {
        val current = policy()
        val requestCount = count(requests, service, now).size
        val spent = count(retries, service, now)
        val fixed = current.minimum * SAFETY / nodes().coerceAtLeast(1)
        if (spent.size + 1 > requestCount * current.ratio * SAFETY + fixed) return false
        spent.addLast(now)
        return true
    }

    private fun count(by: HashMap<ServiceId, ArrayDeque<Moment>>, service: ServiceId, now: Moment): ArrayDeque<Moment> {
        val times = by.getOrPut(service) { ArrayDeque() }
        val start = now - policy().window
        while (times.isNotEmpty() && times.first() < start) times.removeFirst()
        return times
    }

    private companion object {
        /** Safety margin, as sliding windows and requests in flight make the counts of nodes differ. */
        const val SAFETY = 0.7
    }
}
