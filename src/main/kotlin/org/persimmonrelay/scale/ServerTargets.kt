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

/**
 * Settings of the numbers of servers that a load needs.
 *
 * Servers are used up to [maxUse] of their capacity on average, so that a long prompt or the loss of a failure domain
 * delays few others. The number decreases only when the load of the last [keepFor] needs less than [shrinkBelow] of it,
 * and grows by at least [minGrowth] at a time, so that orders stay few. The servers that a deployment came with are
 * counted [settleTime] after the first look, when each has had time to announce itself.
 */
public data class ServerTargetSettings(
    val maxUse: Double = 0.5,
    val keepFor: Duration = 30.seconds,
    val shrinkBelow: Double = 0.8,
    val minGrowth: Double = 0.1,
    val settleTime: Duration = 5.seconds,
)

/** The servers of a service that get work, by failure domain, and the share of its engines that prefill. */
public data class ServiceFleet(val counts: Map<FailureDomain, DomainServerCounts>, val prefillShare: Double = 1.0)

/**
 * Decides how many servers a service needs in each failure domain. Requests are served in the region of their caller,
 * so a region's servers follow the load of its callers, and are spread evenly over its failure domains.
 *
 * [isFirst] is true if no node has ordered servers before. Then a service has twice the servers that its deployment
 * came with until there is a load, if spot servers are worthwhile, since these cost no more than what they replace. For
 * a later holder the present servers, which others have ordered, count as needed until the load is known. Not
 * thread-safe.
 */
public class ServerTargets(
    private val regions: Map<FailureDomain, Region>,
    private val isFirst: Boolean,
    private val settings: ServerTargetSettings = ServerTargetSettings(),
) {
    private val states = HashMap<ServiceId, TargetState>()

    private class TargetState(val since: Moment) {
        var loadSince: Moment? = null
        val regions = HashMap<Region?, RegionTarget>()
    }

    private class RegionTarget(var servers: Int) {
        val needs = ArrayDeque<Need>()
    }

    private class Need(val servers: Int, val at: Moment)

    /**
     * The number of servers that [service] is to have in each failure domain at [now]; null if they can't be ordered,
     * or while servers of its deployment may not have announced themselves yet.
     */
    public fun update(
        service: Service,
        fleet: ServiceFleet,
        load: Map<FailureDomain, ServiceLoad>,
        now: Moment,
    ): Map<FailureDomain, Int>? {
        val scaling = service.scaling ?: return null
        val state = states.getOrPut(service.id) { TargetState(now) }
        if (isFirst && now - state.since < settings.settleTime) return null
        if (state.loadSince == null && load.values.any { it.isPresent }) state.loadSince = now
        return fleet.counts.keys.groupBy { regions[it] }.flatMap { (region, domains) ->
            val target = state.regions.getOrPut(region) { RegionTarget(initial(domains, fleet, scaling)) }
            val need = need(service, fleet, load.filterKeys { regions[it] == region }.values)
            adjust(target, need, mayShrink = state.loadSince?.let { now - it >= settings.keepFor } ?: false, now)
            spread(target.servers, domains, scaling)
        }.toMap()
    }

    private fun initial(domains: List<FailureDomain>, fleet: ServiceFleet, scaling: Scaling): Int {
        val present = domains.sumOf { fleet.counts[it]?.total ?: 0 }
        return if (isFirst && scaling.isSpotWorthwhile) present * SPARE_FACTOR else present
    }

    private fun need(service: Service, fleet: ServiceFleet, loads: Collection<ServiceLoad>): Int {
        val load = loads.fold(ServiceLoad(), ServiceLoad::plus)
        val slots = service.engine?.slots ?: 1
        val prefillShare = fleet.prefillShare.coerceIn(MIN_STAGE_SHARE, 1.0)
        val decodeShare = if (prefillShare < 1.0) (1 - prefillShare).coerceAtLeast(MIN_STAGE_SHARE) else 1.0
        val forPrefill = load.busyEngines / (settings.maxUse * prefillShare)
        val forSlots = load.usedSlots / (settings.maxUse * decodeShare * slots)
        return ceil(maxOf(forPrefill, forSlots)).toInt()
    }

    private fun adjust(target: RegionTarget, need: Int, mayShrink: Boolean, now: Moment) {
        target.needs.addLast(Need(need, now))
        while (now - target.needs.first().at > settings.keepFor) target.needs.removeFirst()
        val highest = target.needs.maxOf { it.servers }
        val grown = ceil(target.servers * (1 + settings.minGrowth)).toInt()
        if (highest > target.servers) target.servers = maxOf(highest, grown)
        if (mayShrink && highest < target.servers * settings.shrinkBelow) target.servers = highest
    }

    /** [servers] in equal parts; the rest where servers cost least. */
    private fun spread(servers: Int, domains: List<FailureDomain>, scaling: Scaling): List<Pair<FailureDomain, Int>> {
        val byPrice = domains.sortedBy { scaling.prices[it] ?: Double.MAX_VALUE }
        return byPrice.mapIndexed { i, domain ->
            val share = servers / domains.size + if (i < servers % domains.size) 1 else 0
            domain to share.coerceIn(minOf(scaling.min, scaling.max), scaling.max)
        }
    }

    private companion object {
        /** Spot servers for the price of one ordinary server, at the highest price at which they are ordered. */
        const val SPARE_FACTOR = (1 / MAX_SPOT_PRICE_RATIO).toInt()

        /** A stage with a smaller share can't be followed by the number of servers; its share has to grow. */
        const val MIN_STAGE_SHARE = 0.2
    }
}
