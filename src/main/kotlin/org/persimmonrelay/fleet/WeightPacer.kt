package org.persimmonrelay.fleet

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.platform.WeightStore
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/**
 * Limits loads of weights to the weight store's rate for the whole fleet, of which each failure domain has an equal
 * share. A new lease holder begins its first load one interval after its first call, so that a change of holder
 * never adds a load. Called on the control thread.
 */
internal class WeightPacer(private val store: WeightStore, private val domains: () -> Int) {
    private val nextLoad = mutableMapOf<FailureDomain, Moment>()

    /** Zero when a load in [domain] may begin now, which is then counted; else the time to wait. */
    suspend fun tryAcquire(domain: FailureDomain, now: Moment): Duration {
        val perMinute = store.loadsPerMinute().getOrNull() ?: return UNKNOWN_LIMIT_WAIT
        val interval = 1.minutes * maxOf(1, domains()) / maxOf(1, perMinute)
        val next = nextLoad.getOrPut(domain) { now + interval }
        if (now < next) return next - now
        nextLoad[domain] = now + interval
        return Duration.ZERO
    }

    private companion object {
        val UNKNOWN_LIMIT_WAIT = 1.minutes
    }
}
