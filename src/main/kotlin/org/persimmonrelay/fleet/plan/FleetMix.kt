package org.persimmonrelay.fleet.plan

import kotlin.math.ceil
import kotlin.math.floor

/** How many servers to have, and how many of them cheap, per failure domain at most [cheapPerDomain]. */
public data class FleetMix(val servers: Int, val cheap: Int, val cheapPerDomain: Int)

/**
 * Finds the cheapest fleet that serves a load and carries it when all cheap servers of one failure domain vanish.
 *
 * A few servers more than the load needs can be cheaper, since each allows a cheap server in every domain.
 */
public class FleetMixer(private val settings: FleetSizeSettings) {
    /**
     * The fleet for [load], in engines' full work, over [domains] failure domains, of which [cheapDomains] have
     * cheap servers.
     */
    public fun mix(load: Double, domains: Int, cheapDomains: Int): FleetMix {
        val needed = ceil(load / settings.busyShare).toInt().coerceIn(settings.minServers, settings.maxServers)
        val most = minOf(settings.maxServers, ceil(needed * MOST_SURPLUS).toInt())
        return (needed..most)
            .map { fleet(it, load, domains, cheapDomains) }
            .minByOrNull { cost(it) } ?: FleetMix(needed, 0, 0)
    }

    private fun fleet(servers: Int, load: Double, domains: Int, cheapDomains: Int): FleetMix {
        val spare = maxOf(0, servers - ceil(load / settings.carryShare).toInt())
        val most = minOf(floor(settings.maxCheapShare * servers).toInt(), spare * cheapDomains)
        val perDomain = if (cheapDomains == 0) 0 else minOf(spare, ceil(most.toDouble() / domains).toInt())
        return FleetMix(servers, minOf(most, perDomain * cheapDomains), perDomain)
    }

    private fun cost(mix: FleetMix): Double = mix.servers - mix.cheap * (1 - settings.cheapPrice)

    private companion object {
        const val MOST_SURPLUS = 1.6
    }
}
