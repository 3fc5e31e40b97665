package org.persimmonrelay.backend

import org.persimmonrelay.route.ServiceId
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Counts the work that this node's callers ask of each service. Confined to the traffic thread. */
internal class DemandMeter {
    private val totals = HashMap<ServiceId, ServiceDemand>()
    private val speeds = HashMap<ServiceId, PrefillSpeed>()

    /** The speed at which engines of [service] prefill. */
    fun speed(service: ServiceId): PrefillSpeed = speeds.getOrPut(service) { PrefillSpeed() }

    /** A request for [service] arrived with [prefillTokens] cached nowhere near; it holds a slot for [held]. */
    fun arrived(service: ServiceId, prefillTokens: Int, held: Duration, isRefused: Boolean) {
        val before = totals[service] ?: ServiceDemand(service)
        totals[service] = before.copy(
            prefillMillis = before.prefillMillis + prefillTokens * speed(service).perToken,
            slotMillis = before.slotMillis + held.toDouble(DurationUnit.MILLISECONDS),
            requests = before.requests + 1,
            refused = before.refused + if (isRefused) 1 else 0,
        )
    }

    /** The demand on each service since the start. */
    fun totals(): List<ServiceDemand> = totals.values.toList()
}
