/*
 * Placement of models on servers and the order of weight loads. The weight store bounds how many loads may begin
 * per minute over the whole fleet, so the load that frees most waiting work per load goes first.
 */
package org.persimmonrelay.fleet.plan

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.ServerId
import kotlin.math.ceil
import kotlin.time.DurationUnit

/** What a model is asked for: [load] in engines' full work, [waiting] in engine seconds that wait now. */
public data class ModelNeed(val model: String, val load: Double, val waiting: Double = 0.0)

/** A server, the models it holds or loads, and how many fit. */
public data class ModelHost(val server: ServerId, val domain: FailureDomain, val models: Set<String>, val slots: Int)

/** Load [model] on [server], in place of [evict] if its memory is full. */
public data class WeightLoad(val server: ServerId, val model: String, val evict: String? = null)

/** Plans weight loads. Pure but for the pacing; not thread-safe. */
public class WeightLoadPlanner(private val busyShare: Double = DEFAULT_BUSY_SHARE) {
    private var allowance = 0.0
    private var filledAt: Moment? = null

    /** Loads to begin now, at most as many as [loadsPerMinute] allows since the last call. */
    public fun plan(
        needs: List<ModelNeed>,
        hosts: List<ModelHost>,
        loadsPerMinute: Int,
        now: Moment,
    ): List<WeightLoad> {
        refill(loadsPerMinute, now)
        val byName = needs.associateBy { it.model }
        val state = hosts.associateByTo(LinkedHashMap()) { it.server }
        val loads = ArrayList<WeightLoad>()
        while (allowance >= 1) {
            val load = next(byName, state.values.toList()) ?: break
            val host = state.getValue(load.server)
            state[load.server] = host.copy(models = host.models - setOfNotNull(load.evict) + load.model)
            loads += load
            allowance -= 1
        }
        return loads
    }

    private fun refill(loadsPerMinute: Int, now: Moment) {
        val seconds = filledAt?.let { (now - it).toDouble(DurationUnit.SECONDS) } ?: SECONDS_PER_MINUTE
        filledAt = now
        allowance = minOf(loadsPerMinute.toDouble(), allowance + seconds * loadsPerMinute / SECONDS_PER_MINUTE)
    }

    private fun next(needs: Map<String, ModelNeed>, hosts: List<ModelHost>): WeightLoad? {
        val replicas = replicas(hosts)
        val short = needs.values.filter { (replicas[it.model]?.size ?: 0) < wanted(it) }
        return short.sortedByDescending {
            urgency(it, replicas)
        }.firstNotNullOfOrNull { place(it, needs, hosts, replicas) }
    }

    private fun replicas(hosts: List<ModelHost>): Map<String, List<ModelHost>> =
        hosts.flatMap { host -> host.models.map { it to host } }.groupBy({ it.first }, { it.second })

    private fun wanted(need: ModelNeed): Int =
        if (need.load <= 0 && need.waiting <= 0) 0 else maxOf(1, ceil(need.load / busyShare).toInt())

    /** Work per replica that one more replica would relieve; a model that nobody holds comes first. */
    private fun urgency(need: ModelNeed, replicas: Map<String, List<ModelHost>>): Double {
        val held = replicas[need.model]?.size ?: 0
        val work = need.load + need.waiting / WAITING_SECONDS
        return if (held == 0) UNSERVED + work else work / held
    }

    private fun place(
        need: ModelNeed,
        needs: Map<String, ModelNeed>,
        hosts: List<ModelHost>,
        replicas: Map<String, List<ModelHost>>,
    ): WeightLoad? {
        val holding = replicas[need.model].orEmpty()
        val open = hosts.filter { need.model !in it.models }
        val spread = compareBy<ModelHost> { host ->
            holding.count { it.domain == host.domain }
        }.thenBy { it.models.size }
        val free = open.filter { it.models.size < it.slots }.minWithOrNull(spread)
        if (free != null) return WeightLoad(free.server, need.model)
        return open
            .sortedWith(spread)
            .firstNotNullOfOrNull { host ->
                spareModel(host, needs, replicas)?.let { WeightLoad(host.server, need.model, it) }
            }
    }

    /** A model of [host] that has a replica more than it needs. */
    private fun spareModel(
        host: ModelHost,
        needs: Map<String, ModelNeed>,
        replicas: Map<String, List<ModelHost>>,
    ): String? = host.models.firstOrNull { model ->
        val wanted = needs[model]?.let(::wanted) ?: 0
        (replicas[model]?.size ?: 0) > wanted
    }

    private companion object {
        const val DEFAULT_BUSY_SHARE = 0.75
        const val SECONDS_PER_MINUTE = 60.0

        /** Waiting work counts as the load that would clear it in this time. */
        const val WAITING_SECONDS = 60.0
        const val UNSERVED = 1e6
    }
}
