package org.persimmonrelay.route

import org.persimmonrelay.identity.FailureDomain
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A service as the operator describes it. [maxConnections] is for each server, over all nodes together. */
public data class Service(
    val id: ServiceId,
    val maxConnections: Int,
    val engine: EngineShape? = null,
    val scaling: Scaling? = null,
)

/**
 * What the engines of a service have in common. [slots] run at once; [kvTokens] fit into an engine's memory, each of
 * [tokenBytes]; [linkMbps] is the speed of an engine's link to others, 0 when memory is not moved. [watchers] callers
 * may wait for an engine's reports at a time.
 */
public data class EngineShape(
    val slots: Int,
    val kvTokens: Long,
    val tokenBytes: Long = 0,
    val linkMbps: Double = 0.0,
    val watchers: Int = 0,
) {
    /** True when engines can copy what they keep to each other. */
    val movesMemory: Boolean
        get() = tokenBytes > 0 && linkMbps > 0

    /** How long the memory of [tokens] takes over a free link between two engines of one failure domain. */
    public fun moveTime(tokens: Int): Duration = (tokens * tokenBytes * BITS / (linkMbps * BITS_PER_MILLI)).milliseconds

    private companion object {
        const val BITS = 8.0

        /** In a millisecond, at one Mbit/s. */
        const val BITS_PER_MILLI = 1_000.0
    }
}

/** How many servers of a service may be ordered in each failure domain, and what a second of one costs there. */
public data class Scaling(
    val min: Int,
    val max: Int,
    val startup: Duration,
    val spotPrice: Double?,
    val prices: Map<FailureDomain, Double>,
)
