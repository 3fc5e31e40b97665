/*
 * Decides which servers of a pool are started and which are drained and stopped. Starts follow the forecast over the
 * time of a cold start, stops that over a longer time, so that a short dip in load stops no server.
 */
package org.persimmonrelay.fleet.plan

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.platform.PriceClass
import kotlin.math.ceil
import kotlin.time.Duration.Companion.seconds

/** A server of the pool that runs or starts and is not draining. */
public data class PoolServer(val server: ServerId, val domain: FailureDomain, val price: PriceClass)

/** An order to the platform. */
public sealed interface FleetOrder {
    public data class Start(val domain: FailureDomain, val price: PriceClass) : FleetOrder

    /** Drain the server, then stop it. */
    public data class Stop(val server: ServerId) : FleetOrder
}

/** Plans one pool. Not thread-safe. */
public class FleetPlanner(private val settings: FleetSizeSettings, private val domains: List<FailureDomain>) {
    private val optimizer = FleetOptimizer(settings)
    private val forecast = PeakForecast()
    private val noCheapUntil = HashMap<FailureDomain, Moment>()

    /** Records the mean load of the last [PeakForecast.BIN_SECONDS] seconds, in fully busy engines. */
    public fun observe(load: Double): Unit = forecast.observe(load)

    /** Records that the platform declined a cheap server in [domain] at [now]. */
    public fun cheapDeclined(domain: FailureDomain, now: Moment) {
        noCheapUntil[domain] = now + settings.retryCheapSeconds.seconds
    }

    /** Orders that bring [servers] to the planned size. [load] is the current one, in fully busy engines. */
    public fun plan(servers: List<PoolServer>, load: Double, now: Moment): List<FleetOrder> {
        val cheapDomains = domains.filter { domain -> noCheapUntil[domain]?.let { now >= it } ?: true }
        val nearPeak = maxOf(load, forecast.peakWithin(settings.coldStartSeconds + PeakForecast.BIN_SECONDS))
        val laterPeak = maxOf(nearPeak, forecast.peakWithin(settings.idleSeconds))
        val target = optimizer.cheapest(nearPeak, domains.size, cheapDomains.size)
        val starts = starts(servers, target, cheapDomains)
        return starts.ifEmpty {
            stops(servers, optimizer.cheapest(laterPeak, domains.size, cheapDomains.size), laterPeak)
        }
    }

    private fun starts(
        servers: List<PoolServer>,
        target: FleetTarget,
        cheapDomains: List<FailureDomain>,
    ): List<FleetOrder> {
        val fleet = servers.toMutableList()
        val orders = ArrayList<FleetOrder>()
        while (fleet.size < target.servers) {
            val cheapIn = cheapDomains.minByOrNull { count(fleet, it, PriceClass.CHEAP) }
            val roomForCheap = cheapIn != null && count(fleet, cheapIn, PriceClass.CHEAP) < target.cheapPerDomain
            val price =
                if (roomForCheap && cheap(fleet) < target.cheap) PriceClass.CHEAP else PriceClass.ORDINARY
            val domain = if (price == PriceClass.CHEAP) cheapIn!! else domains.minBy { count(fleet, it, price) }
            orders += FleetOrder.Start(domain, price)
            fleet += PoolServer(ServerId("new-${fleet.size}"), domain, price)
        }
        return orders
    }

    /**
     * Stops servers that are not needed, ordinary ones first while the rest can lose the cheap servers of any failure
     * domain; else cheap ones.
     */
    private fun stops(servers: List<PoolServer>, target: FleetTarget, load: Double): List<FleetOrder> {
        val fleet = servers.toMutableList()
        val orders = ArrayList<FleetOrder>()
        while (fleet.size > target.servers) {
            val price = if (canServeWithout(fleet, load)) PriceClass.ORDINARY else PriceClass.CHEAP
            val candidates = fleet.filter { it.price == price }.ifEmpty { fleet }
            val fullestDomain = candidates.groupBy { it.domain }.values.maxBy { it.size }
            val stopped = fullestDomain.last()
            fleet -= stopped
            orders += FleetOrder.Stop(stopped.server)
        }
        return orders
    }

    /** True when the fleet without one ordinary server serves [load] after a loss of any domain's cheap servers. */
    private fun canServeWithout(fleet: List<PoolServer>, load: Double): Boolean {
        val remaining = fleet.size - 1
        val max = domains.maxOf { count(fleet, it, PriceClass.CHEAP) }
        val isShareKept = cheap(fleet) <= settings.maxCheapShare * remaining
        return isShareKept && remaining - max >= ceil(load / settings.carryShare).toInt()
    }

    private fun cheap(fleet: List<PoolServer>): Int = fleet.count { it.price == PriceClass.CHEAP }

    private fun count(fleet: List<PoolServer>, domain: FailureDomain, price: PriceClass): Int =
        fleet.count { it.domain == domain && it.price == price }
}
