package org.persimmonrelay.experiment

import org.persimmonrelay.fleet.plan.FleetSizeSettings

/**
 * The least cost of work answered well, for any fleet that carries the loss of a failure domain's cheap servers;
 * docs/POLICY-BOUND.md derives it. Servers count as fractions, starts take no time.
 */
internal class FleetBound(private val settings: FleetSizeSettings) {
    /** Least cost per unit of load, in ordinary servers. */
    fun costOfLoad(cheap: Boolean): Double {
        val least = 1 / settings.fullShare
        if (!cheap) return least
        val corner = FleetRun.DOMAINS / settings.carryShare / (FleetRun.DOMAINS - settings.maxCheapShare)
        return minOf(cost(least), cost(maxOf(least, corner)))
    }

    /** Cost of [servers] per unit of load with as many cheap ones as are allowed. */
    private fun cost(servers: Double): Double {
        val spare = maxOf(0.0, servers - 1 / settings.carryShare) * FleetRun.DOMAINS
        val cheap = minOf(settings.maxCheapShare * servers, spare)
        return servers - cheap * (1 - settings.cheapPrice)
    }
}
