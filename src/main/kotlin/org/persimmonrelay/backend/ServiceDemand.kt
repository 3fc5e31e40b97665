package org.persimmonrelay.backend

import kotlinx.serialization.Serializable
import org.persimmonrelay.route.ServiceId

/**
 * The work that a node's callers have asked of [service] since the node started, refused requests included. It never
 * decreases until the node stops.
 *
 * [prefillMillis] is the time that prefill of the prompts occupies engines, as far as no engine had them cached.
 * [slotMillis] is the time that requests occupy slots of servers. [requests] of them arrived, of which [refused] were
 * refused.
 */
@Serializable
public data class ServiceDemand(
    val service: ServiceId,
    val prefillMillis: Double = 0.0,
    val slotMillis: Double = 0.0,
    val requests: Long = 0,
    val refused: Long = 0,
) {
    /** True if all figures are finite and not negative. */
    public val isPlausible: Boolean
        get() = listOf(prefillMillis, slotMillis).all { it.isFinite() && it >= 0 } && refused in 0..requests
}
