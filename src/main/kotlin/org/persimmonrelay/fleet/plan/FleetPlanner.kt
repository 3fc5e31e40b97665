/*
 * Decides which servers of a pool are started and which are drained and stopped. The plan follows the forecast
 * over a cold start for growth, and over a longer time for shrinking, so that a short dip stops nothing.
 */
package org.persimmonrelay.fleet.plan

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.platform.PriceClass
import kotlin.math.ceil
import kotlin.time.Duration.Companion.seconds

/** A server of the pool that runs or starts, and isn't draining. */
public data class PoolServer(val server: ServerId, val domain: FailureDomain, val price: PriceClass)

/** What to order from the platform. */
public sealed interface FleetOrder {
    public data class Start(val domain: FailureDomain, val price: PriceClass) : FleetOrder

    /** Drain the server, then stop it. */
    public data class Stop(val server: ServerId) : FleetOrder
}

/** Plans one pool. Not thread-safe. */
public class FleetPlanner(private val settings: FleetSizeSettings, private val domains: List<FailureDomain>) {
    private val mixer = FleetMixer(settings)
    private val forecast = PeakForecast()
    private val noCheapUntil = HashMap<FailureDomain, Moment>()

    /** Takes the mean load of the last [PeakForecast.BIN_SECONDS], in engines' full work. */
    public fun observe(load: Double): Unit = forecast.observe(load)

    /** The platform has no cheap servers in [domain] now. */
    public fun cheapDeclined(domain: FailureDomain, now: Moment) {
        noCheapUntil[domain] = now + settings.retryCheapSeconds.seconds
    }

    /** Orders that bring [servers] to the plan. [load] is the present one. */
    public fun plan(servers: List<PoolServer>, load: Double, now: Moment): List<FleetOrder> {
        val cheapDomains = domains.filter { domain -> noCheapUntil[domain]?.let { now >= it } ?: true }
        val soon = maxOf(load, forecast.highest(settings.coldStartSeconds + PeakForecast.BIN_SECONDS))
        val later = maxOf(soon, forecast.highest(settings.idleSeconds))
        val grow = mixer.mix(soon, domains.size, cheapDomains.size)
        val starts = starts(servers, grow, cheapDomains)
        return starts.ifEmpty { stops(servers, mixer.mix(later, domains.size, cheapDomains.size), later) }
    }

    private fun starts(servers: List<PoolServer>, mix: FleetMix, cheapDomains: List<FailureDomain>): List<FleetOrder> {
        val fleet = servers.toMutableList()
        val orders = ArrayList<FleetOrder>()
        while (fleet.size < mix.servers) {
            val cheapIn = cheapDomains.minByOrNull { count(fleet, it, PriceClass.CHEAP) }
            val roomForCheap = cheapIn != null && count(fleet, cheapIn, PriceClass.CHEAP) < mix.cheapPerDomain
            val price =
                if (roomForCheap && cheap(fleet) < mix.cheap) PriceClass.CHEAP else PriceClass.ORDINARY
            val domain = if (price == PriceClass.CHEAP) cheapIn!! else domains.minBy { count(fleet, it, price) }
            orders += FleetOrder.Start(domain, price)
            fleet += PoolServer(ServerId("new-${fleet.size}"), domain, price)
        }
        return orders
    }

    /** Stops what isn't needed, the dear ones first, but never so that a failure domain's cheap ones grow too many. */
    private fun stops(servers: List<PoolServer>, mix: FleetMix, load: Double): List<FleetOrder> {
        val fleet = servers.toMutableList()
        val orders = ArrayList<FleetOrder>()
        while (fleet.size > mix.servers) {
            val price = if (carriesWithout(fleet, load)) PriceClass.ORDINARY else PriceClass.CHEAP
            val candidates = fleet.filter { it.price == price }.ifEmpty { fleet }
            val crowded = candidates.groupBy { it.domain }.values.maxBy { it.size }
            val stopped = crowded.last()
            fleet -= stopped
            orders += FleetOrder.Stop(stopped.server)
        }
        return orders
    }

    /** True when one ordinary server fewer still leaves enough after the loss of any domain's cheap servers. */
    private fun carriesWithout(fleet: List<PoolServer>, load: Double): Boolean {
        val left = fleet.size - 1
        val most = domains.maxOf { count(fleet, it, PriceClass.CHEAP) }
        val shareKept = cheap(fleet) <= settings.maxCheapShare * left
        return shareKept && left - most >= ceil(load / settings.carryShare).toInt()
    }

    private fun cheap(fleet: List<PoolServer>): Int = fleet.count { it.price == PriceClass.CHEAP }

    private fun count(fleet: List<PoolServer>, domain: FailureDomain, price: PriceClass): Int =
        fleet.count { it.domain == domain && it.price == price }
}
