package org.persimmonrelay.experiment

import org.persimmonrelay.fleet.plan.FleetSizeSettings

/**
 * Lower bound on the cost of good work for any fleet that can carry the load after losing the spot servers of one
 * failure domain; docs/POLICY-BOUND.md derives it. It allows fractions of servers and assumes that servers start
 * at once.
 */
internal class FleetBound(private val settings: FleetSizeSettings) {
    /** Minimum cost per unit of load, in ordinary servers. */
    fun minCostPerLoad(spotAvailable: Boolean): Double {
        val minServers = 1 / settings.fullShare
        if (!spotAvailable) return minServers
        val cornerServers = FleetRun.DOMAINS / settings.carryShare / (FleetRun.DOMAINS - settings.maxCheapShare)
        return minOf(costWithSpot(minServers), costWithSpot(maxOf(minServers, cornerServers)))
    }

    /** Cost of [servers] servers per unit of load, with the maximum permitted number of spot servers among them. */
    private fun costWithSpot(servers: Double): Double {
        val spareServers = maxOf(0.0, servers - 1 / settings.carryShare) * FleetRun.DOMAINS
        val spot = minOf(settings.maxCheapShare * servers, spareServers)
        return servers - spot * (1 - settings.cheapPrice)
    }
}
