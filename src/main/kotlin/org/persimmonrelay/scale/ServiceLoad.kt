package org.persimmonrelay.scale

/**
 * Load on the servers of a service: [busyEngines] are kept busy by prefill, and [usedSlots] slots are held by requests,
 * both on average over the last seconds.
 */
public data class ServiceLoad(val busyEngines: Double = 0.0, val usedSlots: Double = 0.0) {
    /** True if callers ask for anything. */
    public val isPresent: Boolean
        get() = busyEngines > 0 || usedSlots > 0

    public operator fun plus(other: ServiceLoad): ServiceLoad =
        ServiceLoad(busyEngines + other.busyEngines, usedSlots + other.usedSlots)
}
