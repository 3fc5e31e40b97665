package org.persimmonrelay.fleet.plan

import kotlin.math.ceil
import kotlin.math.floor

/** A planned number of servers, [cheap] of them of the cheap price class, at most [cheapPerDomain] in a domain. */
public data class FleetTarget(val servers: Int, val cheap: Int, val cheapPerDomain: Int)

/**
 * Finds the cheapest fleet that serves a load, also after the loss of all cheap servers of one failure domain.
 *
 * Cheap servers can be taken away by the platform at any time. More servers than the load needs can cost less, since
 * each spare one allows another cheap server in every domain.
 */
public class FleetOptimizer(private val settings: FleetSizeSettings) {
    /**
     * The cheapest fleet for [load], in fully busy engines, over [domains] failure domains, of which [cheapDomains]
     * have cheap servers.
     */
    public fun cheapest(load: Double, domains: Int, cheapDomains: Int): FleetTarget {
        val needed = ceil(load / settings.busyShare).toInt().coerceIn(settings.minServers, settings.maxServers)
        val max = minOf(settings.maxServers, ceil(needed * MAX_SURPLUS).toInt())
        return (needed..max)
            .map { fleet(it, load, domains, cheapDomains) }
            .minByOrNull { cost(it) } ?: FleetTarget(needed, 0, 0)
    }

    private fun fleet(servers: Int, load: Double, domains: Int, cheapDomains: Int): FleetTarget {
        val spare = maxOf(0, servers - ceil(load / settings.carryShare).toInt())
        val max = minOf(floor(settings.maxCheapShare * servers).toInt(), spare * cheapDomains)
        val perDomain = if (cheapDomains == 0) 0 else minOf(spare, ceil(max.toDouble() / domains).toInt())
        return FleetTarget(servers, minOf(max, perDomain * cheapDomains), perDomain)
    }

    private fun cost(target: FleetTarget): Double = target.servers - target.cheap * (1 - settings.cheapPrice)

    private companion object {
        const val MAX_SURPLUS = 1.6
    }
}
