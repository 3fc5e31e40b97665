package org.persimmonrelay.fleet.plan

import kotlinx.serialization.Serializable

/**
 * Settings of fleet size.
 *
 * A server is used up to [busyShare] in the plan, of the [fullShare] up to which answers stay within bounds. For
 * the time after the loss of a failure domain's cheap servers the rest may be used up to [carryShare].
 * [coldStartSeconds] pass from an order to work, and a server idle for the coming [idleSeconds] is stopped.
 * Cheap servers cost [cheapPrice] of an ordinary one and make up at most [maxCheapShare]. After a declined order
 * cheap servers of that domain are asked for again after [retryCheapSeconds].
 */
@Serializable
public data class FleetSizeSettings(
    val busyShare: Double = 0.76,
    val fullShare: Double = 0.8,
    val carryShare: Double = 0.95,
    val coldStartSeconds: Double = 240.0,
    val idleSeconds: Double = 900.0,
    val cheapPrice: Double = 0.4,
    val maxCheapShare: Double = 0.5,
    val retryCheapSeconds: Double = 1_800.0,
    val minServers: Int = 2,
    val maxServers: Int = 2_000,
)
