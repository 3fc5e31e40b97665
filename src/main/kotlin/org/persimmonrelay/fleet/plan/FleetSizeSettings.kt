package org.persimmonrelay.fleet.plan

import kotlinx.serialization.Serializable

/**
 * Settings of the fleet size planner.
 *
 * The plan uses servers up to [busyShare] of their capacity; up to [fullShare] latencies stay within their limits.
 * After the loss of a failure domain's cheap servers the remaining ones may be used up to [carryShare].
 * A server serves requests [coldStartSeconds] after it was ordered. A server that is not needed for the next
 * [idleSeconds] is stopped. A cheap server costs [cheapPrice] of an ordinary one, and cheap servers are at most
 * [maxCheapShare] of the fleet. After a declined order, cheap servers of that domain are ordered again after
 * [retryCheapSeconds].
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
