package org.persimmonrelay.backend

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.route.ServiceId
import kotlin.time.Duration

/** What all nodes together may send again: [ratio] of the requests plus [minimum], in any span of [window]. */
public data class RetryBudgetPolicy(val ratio: Double, val minimum: Int, val window: Duration)

/**
 * This node's share of the retry budget, by service. Counts sends beyond the first of each request in the last
 * window, and takes an equal part of the budget's fixed amount. Confined to the traffic thread.
 */
public class NodeRetryBudget(private val rule: () -> RetryBudgetPolicy, private val nodes: () -> Int) {
    private val requests = HashMap<ServiceId, ArrayDeque<Moment>>()
    private val repeats = HashMap<ServiceId, ArrayDeque<Moment>>()

    /** A caller's request for [service] arrived. */
    public fun requestArrived(service: ServiceId, now: Moment) {
        count(requests, service, now).addLast(now)
    }

    /** Takes the allowance for one more send to [service]; false when it is used up. */
    public fun tryAcquire(service: ServiceId, now: Moment): Boolean {
        val present = rule()
        val own = count(requests, service, now).size
        val spent = count(repeats, service, now)
        val fixed = present.minimum * SAFETY / nodes().coerceAtLeast(1)
        if (spent.size + 1 > own * present.ratio * SAFETY + fixed) return false
        spent.addLast(now)
        return true
    }

    private fun count(by: HashMap<ServiceId, ArrayDeque<Moment>>, service: ServiceId, now: Moment): ArrayDeque<Moment> {
        val times = by.getOrPut(service) { ArrayDeque() }
        val start = now - rule().window
        while (times.isNotEmpty() && times.first() < start) times.removeFirst()
        return times
    }

    private companion object {
        /** Windows slide, and nodes' counts differ by what is under way. */
        const val SAFETY = 0.7
    }
}
