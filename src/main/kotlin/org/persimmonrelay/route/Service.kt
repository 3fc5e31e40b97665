package org.persimmonrelay.route

import org.persimmonrelay.identity.FailureDomain
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A configured service. [maxConnections] is the limit for each server, for all nodes together. */
public data class Service(
    val id: ServiceId,
    val maxConnections: Int,
    val engine: EngineSpec? = null,
    val scaling: Scaling? = null,
)

/**
 * Capacity of each engine of a service. [slots] is the number of requests that run at once, [kvCapacityTokens] the
 * size of the KV cache in tokens of [kvBytesPerToken] bytes each, [linkMbps] the speed of the link to other engines in
 * Mbit/s (0 when engines don't transfer KV cache), [maxReportPollers] the number of callers that may wait for an
 * engine's cache reports at a time.
 */
public data class EngineSpec(
    val slots: Int,
    val kvCapacityTokens: Long,
    val kvBytesPerToken: Long = 0,
    val linkMbps: Double = 0.0,
    val maxReportPollers: Int = 0,
) {
    /** True if engines can copy KV cache to each other. */
    val canTransferKv: Boolean
        get() = kvBytesPerToken > 0 && linkMbps > 0

    /** Time to copy the KV cache of [tokens] over an idle link between two engines in one failure domain. */
    public fun kvTransferTime(tokens: Int): Duration =
        (tokens * kvBytesPerToken * BITS / (linkMbps * BITS_PER_MILLI)).milliseconds

    private companion object {
        const val BITS = 8.0

        /** Bits per millisecond at one Mbit/s. */
        const val BITS_PER_MILLI = 1_000.0
    }
}

/**
 * Limits for ordering servers of a service in each failure domain. [startup] is the time a server takes to start.
 * [prices] is the price of a server for one second; [spotPrice] is that of a spot server as a share of the regular
 * price, null if there are none.
 */
public data class Scaling(
    val min: Int,
    val max: Int,
    val startup: Duration,
    val spotPrice: Double?,
    val prices: Map<FailureDomain, Double>,
)
