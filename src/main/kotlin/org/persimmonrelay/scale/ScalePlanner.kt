package org.persimmonrelay.scale

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.route.Scaling
import org.persimmonrelay.route.Service
import org.persimmonrelay.route.ServiceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Numbers of servers of one service in one failure domain that may get work, by price class. */
public data class DomainServerCounts(val ordinary: Int, val spot: Int)

/**
 * Settings of the numbers of servers.
 *
 * Spot servers are cheaper than ordinary ones, but the platform may take them away on short notice. The failure domain
 * with the lowest price always has at least [minOrdinary] ordinary servers, the others none while they have
 * [fallbackOrdinary] spot servers. Where spot servers are not available, up to [fallbackOrdinary] ordinary ones replace
 * them. Spot servers are ordered only if they cost at most [maxSpotPriceRatio] of an ordinary one, and at most
 * [maxPerDomain] servers in a domain. A declined or unanswered order is repeated after [retryDeclinedAfter], an
 * accepted one after [repeatAfter], in case it was lost.
 */
public data class ScaleSettings(
    val minOrdinary: Int = 1,
    val fallbackOrdinary: Int = 3,
    val maxPerDomain: Int = 8,
    val maxSpotPriceRatio: Double = 0.5,
    val retryDeclinedAfter: Duration = 2.seconds,
    val repeatAfter: Duration = 20.seconds,
)

/**
 * Decides the numbers of servers of one service.
 *
 * Spot servers serve the load, and a few ordinary ones remain when all spot servers are lost. Ordinary servers are
 * released only once spot servers have replaced them. Not thread-safe.
 */
public class ScalePlanner(private val settings: ScaleSettings = ScaleSettings()) {
    private val accepted = HashMap<OrderKey, AcceptedOrder>()
    private val declined = HashMap<OrderKey, Moment>()

    private data class OrderKey(val service: ServiceId, val domain: FailureDomain, val isSpot: Boolean)

    private data class AcceptedOrder(val servers: Int, val at: Moment)

    /** The orders that are due at [now]; [counts] has every domain in which [service] may have servers. */
    public fun plan(service: Service, counts: Map<FailureDomain, DomainServerCounts>, now: Moment): List<ScaleOrder> {
        val scaling = service.scaling ?: return emptyList()
        val domains = scaling.prices.keys.filter { it in counts }.ifEmpty { counts.keys }
        return domains.flatMap { domain ->
            val current = counts[domain] ?: DomainServerCounts(0, 0)
            val ordinary = ordinary(service.id, domain, current, scaling)
            val spot = spot(scaling, maxOf(ordinary, current.ordinary))
            listOf(ScaleOrder(service.id, domain, false, ordinary), ScaleOrder(service.id, domain, true, spot))
        }.filter { isDue(it, now) }
    }

    /** Records the answer to [order]; null when there was none. */
    public fun recordAnswer(order: ScaleOrder, answer: ScaleAnswer?, now: Moment) {
        val orderKey = orderKey(order)
        if (answer == ScaleAnswer.ACCEPTED) {
            accepted[orderKey] = AcceptedOrder(order.servers, now)
            declined.remove(orderKey)
        } else {
            declined[orderKey] = now
        }
    }

    /** Clears the recorded answers; to be called at a new lease, since another node may have sent other orders. */
    public fun reset() {
        accepted.clear()
        declined.clear()
    }

    private fun ordinary(
        service: ServiceId,
        domain: FailureDomain,
        current: DomainServerCounts,
        scaling: Scaling,
    ): Int {
        val min = requiredOrdinary(domain, current, scaling)
        if (!isSpotWorthwhile(scaling)) return current.ordinary.coerceIn(min, maxOf(min, scaling.max))
        val wanted = settings.fallbackOrdinary - current.spot
        val isDeclined = OrderKey(service, domain, isSpot = true) in declined
        val reachable = if (isDeclined) wanted else minOf(wanted, current.ordinary)
        return reachable.coerceIn(min, maxOf(min, scaling.max))
    }

    /** Spot servers of a domain can all be lost at once, so one domain always has ordinary ones. */
    private fun requiredOrdinary(domain: FailureDomain, current: DomainServerCounts, scaling: Scaling): Int {
        val cheapest = scaling.prices.minByOrNull { it.value }?.key
        val servedBySpot = domain != cheapest && current.spot >= settings.fallbackOrdinary
        return if (servedBySpot) 0 else maxOf(scaling.min, settings.minOrdinary)
    }

    private fun spot(scaling: Scaling, ordinary: Int): Int {
        if (!isSpotWorthwhile(scaling)) return 0
        return (minOf(scaling.max, settings.maxPerDomain) - ordinary).coerceAtLeast(0)
    }

    private fun isSpotWorthwhile(scaling: Scaling) = (scaling.spotPrice ?: 1.0) <= settings.maxSpotPriceRatio

    private fun isDue(order: ScaleOrder, now: Moment): Boolean {
        val orderKey = orderKey(order)
        val declinedAt = declined[orderKey]
        if (declinedAt != null) return now - declinedAt >= settings.retryDeclinedAfter
        val sent = accepted[orderKey] ?: return true
        return sent.servers != order.servers || now - sent.at >= settings.repeatAfter
    }

    private fun orderKey(order: ScaleOrder) = OrderKey(order.service, order.domain, order.isSpot)
}
