package org.persimmonrelay.scale

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.Region
import org.persimmonrelay.route.Scaling
import org.persimmonrelay.route.Service
import org.persimmonrelay.route.ServiceId
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Numbers of servers of one service in one failure domain that may get work, by price class. */
public data class DomainServerCounts(val ordinary: Int, val spot: Int) {
    public val total: Int
        get() = ordinary + spot

    internal fun of(isSpot: Boolean): Int = if (isSpot) spot else ordinary
}

/**
 * Settings of the orders for numbers of servers.
 *
 * Spot servers are cheaper than ordinary ones, but the platform may take them away on short notice. The failure domain
 * with the lowest price always has at least [minOrdinary] ordinary servers, the others none while they have
 * [fallbackShare] of their servers as spot servers. Where spot servers are not available, ordinary ones replace them up
 * to that share. A declined or unanswered order is repeated after [retryDeclinedAfter], an accepted one after
 * [repeatAfter], in case it was lost, and [startSlack] after its servers should have started, if there are fewer.
 */
public data class ScaleSettings(
    val minOrdinary: Int = 1,
    val fallbackShare: Double = 0.5,
    val retryDeclinedAfter: Duration = 2.seconds,
    val repeatAfter: Duration = 20.seconds,
    val startSlack: Duration = 3.seconds,
)

/**
 * Decides which orders bring the servers of a service to the numbers that [ServerTargets] asks for.
 *
 * Spot servers serve the load, and a few ordinary ones remain when all spot servers are lost. Ordinary servers are
 * released only once spot servers have replaced them. Where spot servers are not available, the other failure domains
 * of the region get more of them. Not thread-safe.
 */
public class ScalePlanner(
    private val regions: Map<FailureDomain, Region>,
    private val settings: ScaleSettings = ScaleSettings(),
) {
    private val accepted = HashMap<OrderKey, AcceptedOrder>()
    private val declined = HashMap<OrderKey, Moment>()

    private data class OrderKey(val service: ServiceId, val domain: FailureDomain, val isSpot: Boolean)

    private data class AcceptedOrder(val servers: Int, val at: Moment)

    /** What one failure domain has and is to have; [isReplaced] if others of its region have its missing servers. */
    private class DomainPlan(val current: DomainServerCounts, val target: Int, val isReplaced: Boolean)

    /**
     * The orders that are due at [now] for [targets], the servers wanted in each failure domain. [counts] has every
     * domain in which [service] may have servers.
     */
    public fun plan(
        service: Service,
        counts: Map<FailureDomain, DomainServerCounts>,
        targets: Map<FailureDomain, Int>,
        now: Moment,
    ): List<ScaleOrder> {
        val scaling = service.scaling ?: return emptyList()
        val domains = scaling.prices.keys.filter { it in counts }.ifEmpty { counts.keys }
        return domains.flatMap { domain ->
            val plan = domainPlan(service, domain, counts, targets)
            val ordinary = ordinary(service.id, domain, plan, scaling)
            val spot = spot(scaling, plan, maxOf(ordinary, plan.current.ordinary))
            listOf(ScaleOrder(service.id, domain, false, ordinary), ScaleOrder(service.id, domain, true, spot))
                .filter { isDue(it, plan.current, scaling, now) }
        }
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

    private fun domainPlan(
        service: Service,
        domain: FailureDomain,
        counts: Map<FailureDomain, DomainServerCounts>,
        targets: Map<FailureDomain, Int>,
    ): DomainPlan {
        val (short, others) = counts.keys.filter { regions[it] == regions[domain] }
            .partition { isSpotDeclined(service.id, it) }
        val missing = short.sumOf { ((targets[it] ?: 0) - (counts[it]?.total ?: 0)).coerceAtLeast(0) }
        val extra = if (domain in others) missing.ceilDiv(others.size) else 0
        val target = (targets[domain] ?: 0) + extra
        return DomainPlan(counts[domain] ?: DomainServerCounts(0, 0), target, isReplaced = others.isNotEmpty())
    }

    private fun ordinary(service: ServiceId, domain: FailureDomain, plan: DomainPlan, scaling: Scaling): Int {
        val min = requiredOrdinary(domain, plan, scaling)
        val max = maxOf(min, scaling.max)
        if (!scaling.isSpotWorthwhile) return plan.target.coerceIn(min, max)
        val wanted = fallback(plan) - plan.current.spot
        val mustReplace = isSpotDeclined(service, domain) && !plan.isReplaced
        val reachable = if (mustReplace) wanted else minOf(wanted, plan.current.ordinary)
        return reachable.coerceIn(min, max)
    }

    /** Spot servers of a domain can all be lost at once, so one domain always has ordinary ones. */
    private fun requiredOrdinary(domain: FailureDomain, plan: DomainPlan, scaling: Scaling): Int {
        val cheapest = scaling.prices.minByOrNull { it.value }?.key
        val servedBySpot = domain != cheapest && plan.current.spot >= fallback(plan)
        return if (servedBySpot) 0 else maxOf(scaling.min, settings.minOrdinary)
    }

    /** Servers with which a domain can do without the others of its target for some time. */
    private fun fallback(plan: DomainPlan) = ceil(plan.target * settings.fallbackShare).toInt().coerceAtLeast(1)

    private fun spot(scaling: Scaling, plan: DomainPlan, ordinary: Int): Int {
        if (!scaling.isSpotWorthwhile) return 0
        return (minOf(scaling.max, plan.target) - ordinary).coerceAtLeast(0)
    }

    private fun isSpotDeclined(service: ServiceId, domain: FailureDomain) =
        OrderKey(service, domain, isSpot = true) in declined

    private fun isDue(order: ScaleOrder, current: DomainServerCounts, scaling: Scaling, now: Moment): Boolean {
        val orderKey = orderKey(order)
        val declinedAt = declined[orderKey]
        if (declinedAt != null) return now - declinedAt >= settings.retryDeclinedAfter
        val sent = accepted[orderKey] ?: return true
        val isMissing = current.of(order.isSpot) < sent.servers
        val repeatAfter = if (isMissing) scaling.startup + settings.startSlack else settings.repeatAfter
        return sent.servers != order.servers || now - sent.at >= repeatAfter
    }

    private fun orderKey(order: ScaleOrder) = OrderKey(order.service, order.domain, order.isSpot)
}

private fun Int.ceilDiv(divisor: Int): Int = if (divisor == 0) 0 else (this + divisor - 1) / divisor
