package org.persimmonrelay.experiment

import org.persimmonrelay.catalog.BackendServerConfig
import org.persimmonrelay.engine.EngineProfile
import org.persimmonrelay.engine.EngineRole
import org.persimmonrelay.platform.PriceClass
import kotlin.math.roundToInt

/** Paid engine time in seconds: [total], and the part of [spot] servers. */
internal class PaidSeconds(val total: Double, val spot: Double)

/** The engines of a run, their regions and prices, and the network delays between regions. */
internal class SimulatedFleet(
    private val deployment: DeploymentSpec,
    private val conditions: Conditions,
    profile: EngineProfile,
    private val loop: EventLoop,
    listener: EngineListener,
) {
    private val prices = HashMap<String, PriceClass>()
    private val removedAt = HashMap<String, Double>()

    val engines: List<EngineModel> =
        deployment.domains.flatMapIndexed { index, domain ->
            initialRoles(domain.servers).mapIndexed { number, role ->
                val name = "${deployment.name}-${domain.domain}-$number"
                val isSpot = number >= domain.servers - spotServers(index)
                prices[name] = if (isSpot) PriceClass.CHEAP else PriceClass.ORDINARY
                EngineModel(name, domain.domain, role, profile, loop, listener)
            }
        }

    private val byName = engines.associateBy { it.name }
    private val regionOf = deployment.domains.withIndex().associate { (index, domain) -> domain.domain to index }

    /** The region that is partitioned from the others now; null if there is none. */
    var isolatedRegion: Int? = null

    fun engine(name: String): EngineModel = byName.getValue(name)

    fun price(engine: EngineModel): PriceClass = prices.getValue(engine.name)

    fun remove(engine: EngineModel) {
        removedAt[engine.name] = loop.now.seconds
    }

    fun isRemoved(engine: EngineModel): Boolean = engine.name in removedAt

    fun isPartitioned(region: Int, engine: EngineModel): Boolean =
        isPartitioned(region, regionOf.getValue(engine.domain))

    fun isPartitioned(one: Int, other: Int): Boolean = one != other && isolatedRegion.let { it == one || it == other }

    /** One-way delay in seconds from a node in [region] to [engine]. */
    fun delay(region: Int, engine: EngineModel): Double =
        if (regionOf.getValue(engine.domain) == region) SAME_REGION_DELAY_SECONDS else CROSS_REGION_DELAY_SECONDS

    /** The servers as nodes see them in the catalog and the host list. */
    fun servers(): List<BackendServerConfig> = engines.filter {
        !isRemoved(it) && (it.alive || it.draining)
    }.map { engine ->
        BackendServerConfig(
            name = engine.name,
            address = "127.0.0.1:1",
            domain = engine.domain,
            region = deployment.domains[regionOf.getValue(engine.domain)].region,
            price = price(engine),
            role = engine.role,
            drain = engine.draining || engine.terminating,
        )
    }

    /** Engine time paid for from the start of the run to [until], in seconds since the start. */
    fun paidSeconds(until: Double): PaidSeconds {
        val paid = engines.associateWith { removedAt[it.name] ?: until }
        return PaidSeconds(paid.values.sum(), paid.filterKeys { price(it) == PriceClass.CHEAP }.values.sum())
    }

    private fun spotServers(domain: Int): Int =
        conditions.faults.filterIsInstance<Fault.DomainLoss>().filter { it.domain == domain }.sumOf { it.servers }

    /** Static roles for the usual prompt share, as an operator would configure them. A single engine must be mixed. */
    private fun initialRoles(servers: Int): List<EngineRole> {
        if (servers == 1) return listOf(EngineRole.MIXED)
        val prefill = (servers * conditions.initialPromptShare).roundToInt().coerceIn(1, servers - 1)
        return List(servers) { if (it < prefill) EngineRole.PREFILL else EngineRole.DECODE }
    }

    private companion object {
        const val SAME_REGION_DELAY_SECONDS = 0.001
        const val CROSS_REGION_DELAY_SECONDS = 0.005
    }
}
