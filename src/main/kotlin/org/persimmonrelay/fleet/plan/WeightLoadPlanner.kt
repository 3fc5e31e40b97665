/*
 * Placement of models on servers and the order of weight loads. The weight store limits how many loads may begin per
 * minute in the whole fleet, so the load that relieves the most work goes first.
 */
package org.persimmonrelay.fleet.plan

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.ServerId
import kotlin.math.ceil
import kotlin.time.DurationUnit

/** Demand for a model: [load] in fully busy engines, [waiting] is the queued work in engine seconds. */
public data class ModelDemand(val model: String, val load: Double, val waiting: Double = 0.0)

/** A server, the models that it has loaded or is loading, and the number of models that fit. */
public data class ModelServer(val server: ServerId, val domain: FailureDomain, val models: Set<String>, val slots: Int)

/** Load [model] on [server]; [evict] is the model to replace, null when there is a free slot. */
public data class WeightLoad(val server: ServerId, val model: String, val evict: String? = null)

/** Plans weight loads. Its only state is the rate limit; not thread-safe. */
public class WeightLoadPlanner(private val busyShare: Double = DEFAULT_BUSY_SHARE) {
    private var allowance = 0.0
    private var refilledAt: Moment? = null

    /** Loads to begin now, limited to [loadsPerMinute] by a token bucket of one minute. */
    public fun plan(
        demands: List<ModelDemand>,
        servers: List<ModelServer>,
        loadsPerMinute: Int,
        now: Moment,
    ): List<WeightLoad> {
        refill(loadsPerMinute, now)
        val byName = demands.associateBy { it.model }
        val state = servers.associateByTo(LinkedHashMap()) { it.server }
        val loads = ArrayList<WeightLoad>()
        while (allowance >= 1) {
            val load = next(byName, state.values.toList()) ?: break
            val server = state.getValue(load.server)
            state[load.server] = server.copy(models = server.models - setOfNotNull(load.evict) + load.model)
            loads += load
            allowance -= 1
        }
        return loads
    }

    private fun refill(loadsPerMinute: Int, now: Moment) {
        val seconds = refilledAt?.let { (now - it).toDouble(DurationUnit.SECONDS) } ?: SECONDS_PER_MINUTE
        refilledAt = now
        allowance = minOf(loadsPerMinute.toDouble(), allowance + seconds * loadsPerMinute / SECONDS_PER_MINUTE)
    }

    private fun next(demands: Map<String, ModelDemand>, servers: List<ModelServer>): WeightLoad? {
        val replicas = replicas(servers)
        val lacking = demands.values.filter { (replicas[it.model]?.size ?: 0) < neededReplicas(it) }
        return lacking.sortedByDescending {
            priority(it, replicas)
        }.firstNotNullOfOrNull { place(it, demands, servers, replicas) }
    }

    private fun replicas(servers: List<ModelServer>): Map<String, List<ModelServer>> =
        servers.flatMap { server -> server.models.map { it to server } }.groupBy({ it.first }, { it.second })

    private fun neededReplicas(demand: ModelDemand): Int =
        if (demand.load <= 0 && demand.waiting <= 0) 0 else maxOf(1, ceil(demand.load / busyShare).toInt())

    /** Work per replica; a model that no server has comes before all others. */
    private fun priority(demand: ModelDemand, replicas: Map<String, List<ModelServer>>): Double {
        val replicaCount = replicas[demand.model]?.size ?: 0
        val work = demand.load + demand.waiting / QUEUE_CLEAR_SECONDS
        return if (replicaCount == 0) UNSERVED_PRIORITY + work else work / replicaCount
    }

    private fun place(
        demand: ModelDemand,
        demands: Map<String, ModelDemand>,
        servers: List<ModelServer>,
        replicas: Map<String, List<ModelServer>>,
    ): WeightLoad? {
        val holding = replicas[demand.model].orEmpty()
        val open = servers.filter { demand.model !in it.models }
        val spread = compareBy<ModelServer> { server ->
            holding.count { it.domain == server.domain }
        }.thenBy { it.models.size }
        val free = open.filter { it.models.size < it.slots }.minWithOrNull(spread)
        if (free != null) return WeightLoad(free.server, demand.model)
        return open
            .sortedWith(spread)
            .firstNotNullOfOrNull { server ->
                evictableModel(server, demands, replicas)?.let { WeightLoad(server.server, demand.model, it) }
            }
    }

    /** A model of [server] that has more replicas than it needs; null when there is none. */
    private fun evictableModel(
        server: ModelServer,
        demands: Map<String, ModelDemand>,
        replicas: Map<String, List<ModelServer>>,
    ): String? = server.models.firstOrNull { model ->
        val wanted = demands[model]?.let(::neededReplicas) ?: 0
        (replicas[model]?.size ?: 0) > wanted
    }

    private companion object {
        const val DEFAULT_BUSY_SHARE = 0.75
        const val SECONDS_PER_MINUTE = 60.0

        /** Queued work counts as the load that would clear it in this time. */
        const val QUEUE_CLEAR_SECONDS = 60.0
        const val UNSERVED_PRIORITY = 1e6
    }
}
