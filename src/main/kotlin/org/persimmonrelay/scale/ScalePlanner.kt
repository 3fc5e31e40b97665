package org.persimmonrelay.scale

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.route.Scaling
import org.persimmonrelay.route.Service
import org.persimmonrelay.route.ServiceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Servers of one service in one failure domain that may get work. */
public data class DomainServerCounts(val ordinary: Int, val spot: Int)

/**
 * How many servers to have.
 *
 * The failure domain with the lowest price keeps [ordinaryKept] servers that are not taken away on short notice, the
 * others none while they have cheap ones. Where no cheap ones are to be had, up to [ordinaryInstead] ordinary ones
 * stand in for them. A declined order is tried again after
 * [retryDeclined], and every order is repeated after [repeatAfter], in case it was lost.
 */
public data class ScaleSettings(
    val ordinaryKept: Int = 1,
    val ordinaryInstead: Int = 3,
    val mostPerDomain: Int = 8,
    val dearShare: Double = 0.5,
    val retryDeclined: Duration = 2.seconds,
    val repeatAfter: Duration = 20.seconds,
)

/**
 * Decides the numbers of servers of one service.
 *
 * Cheap servers carry the load and a few ordinary ones outlast the loss of all cheap ones. Ordinary servers
 * go only once cheap ones have taken their place. Not thread-safe.
 */
public class ScalePlanner(private val settings: ScaleSettings = ScaleSettings()) {
    private val accepted = HashMap<Subject, Sent>()
    private val declined = HashMap<Subject, Moment>()

    private data class Subject(val service: ServiceId, val domain: FailureDomain, val isSpot: Boolean)

    private data class Sent(val servers: Int, val at: Moment)

    /** The orders that are due at [now]; [census] has each domain with servers of [service]. */
    public fun plan(service: Service, census: Map<FailureDomain, DomainServerCounts>, now: Moment): List<ScaleOrder> {
        val scaling = service.scaling ?: return emptyList()
        val domains = scaling.prices.keys.filter { it in census }.ifEmpty { census.keys }
        return domains.flatMap { domain ->
            val present = census[domain] ?: DomainServerCounts(0, 0)
            val ordinary = ordinary(service.id, domain, present, scaling)
            val cheap = cheap(scaling, maxOf(ordinary, present.ordinary))
            listOf(ScaleOrder(service.id, domain, false, ordinary), ScaleOrder(service.id, domain, true, cheap))
        }.filter { isDue(it, now) }
    }

    /** Takes the answer to [order]; null when there was none. */
    public fun recordAnswer(order: ScaleOrder, answer: ScaleAnswer?, now: Moment) {
        val subject = subject(order)
        if (answer == ScaleAnswer.ACCEPTED) {
            accepted[subject] = Sent(order.servers, now)
            declined.remove(subject)
        } else {
            declined[subject] = now
        }
    }

    /** Forgets what was ordered, since another node may have ordered otherwise meanwhile. */
    public fun reset() {
        accepted.clear()
        declined.clear()
    }

    private fun ordinary(
        service: ServiceId,
        domain: FailureDomain,
        present: DomainServerCounts,
        scaling: Scaling,
    ): Int {
        val least = leastOrdinary(domain, present, scaling)
        if (!isCheapWorthwhile(scaling)) return present.ordinary.coerceIn(least, maxOf(least, scaling.max))
        val wanted = settings.ordinaryInstead - present.spot
        val isDeclined = Subject(service, domain, isSpot = true) in declined
        val reachable = if (isDeclined) wanted else minOf(wanted, present.ordinary)
        return reachable.coerceIn(least, maxOf(least, scaling.max))
    }

    /** Cheap servers leave a domain together, so one domain keeps ordinary ones whatever happens. */
    private fun leastOrdinary(domain: FailureDomain, present: DomainServerCounts, scaling: Scaling): Int {
        val cheapest = scaling.prices.minByOrNull { it.value }?.key
        val carriedByCheap = domain != cheapest && present.spot >= settings.ordinaryInstead
        return if (carriedByCheap) 0 else maxOf(scaling.min, settings.ordinaryKept)
    }

    private fun cheap(scaling: Scaling, ordinary: Int): Int {
        if (!isCheapWorthwhile(scaling)) return 0
        return (minOf(scaling.max, settings.mostPerDomain) - ordinary).coerceAtLeast(0)
    }

    private fun isCheapWorthwhile(scaling: Scaling) = (scaling.spotPrice ?: 1.0) <= settings.dearShare

    private fun isDue(order: ScaleOrder, now: Moment): Boolean {
        val subject = subject(order)
        val refusedAt = declined[subject]
        if (refusedAt != null) return now - refusedAt >= settings.retryDeclined
        val sent = accepted[subject] ?: return true
        return sent.servers != order.servers || now - sent.at >= settings.repeatAfter
    }

    private fun subject(order: ScaleOrder) = Subject(order.service, order.domain, order.isSpot)
}
