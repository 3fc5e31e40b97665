package org.persimmonrelay.experiment

import org.persimmonrelay.catalog.BackendServerConfig
import org.persimmonrelay.engine.EngineProfile
import org.persimmonrelay.engine.EngineRole
import org.persimmonrelay.platform.PriceClass
import kotlin.math.roundToInt

/** Engine time paid for, in seconds. */
internal class PaidSeconds(val all: Double, val cheap: Double)

/** The engines of a run, where they stand and how far apart things are. */
internal class RunFleet(
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
                val cheap = number >= domain.servers - cheapServers(index)
                prices[name] = if (cheap) PriceClass.CHEAP else PriceClass.ORDINARY
                EngineModel(name, domain.domain, role, profile, loop, listener)
            }
        }

    private val byName = engines.associateBy { it.name }
    private val regionOf = deployment.domains.withIndex().associate { (index, domain) -> domain.domain to index }

    /** The region that can't reach the others now, if any. */
    var cutRegion: Int? = null

    fun engine(name: String): EngineModel = byName.getValue(name)

    fun price(engine: EngineModel): PriceClass = prices.getValue(engine.name)

    fun remove(engine: EngineModel) {
        removedAt[engine.name] = loop.now.seconds
    }

    fun isGone(engine: EngineModel): Boolean = engine.name in removedAt

    fun isCut(region: Int, engine: EngineModel): Boolean = isCut(region, regionOf.getValue(engine.domain))

    fun isCut(one: Int, other: Int): Boolean = one != other && cutRegion.let { it == one || it == other }

    /** One-way delay in seconds from a node in [region] to [engine]. */
    fun delay(region: Int, engine: EngineModel): Double =
        if (regionOf.getValue(engine.domain) == region) DOMAIN_SECONDS else REGION_SECONDS

    /** The servers as the catalog and the host list tell the nodes. */
    fun servers(): List<BackendServerConfig> = engines.filter {
        !isGone(it) && (it.alive || it.draining)
    }.map { engine ->
        BackendServerConfig(
            name = engine.name,
            address = "127.0.0.1:1",
            domain = engine.domain,
            region = deployment.domains[regionOf.getValue(engine.domain)].region,
            price = price(engine),
            role = engine.role,
            drain = engine.draining || engine.leaving,
        )
    }

    fun paidSeconds(until: Double): PaidSeconds {
        val all = engines.associateWith { removedAt[it.name] ?: until }
        return PaidSeconds(all.values.sum(), all.filterKeys { price(it) == PriceClass.CHEAP }.values.sum())
    }

    private fun cheapServers(domain: Int): Int =
        conditions.faults.filterIsInstance<Fault.DomainLoss>().filter { it.domain == domain }.sumOf { it.servers }

    /** Roles for the usual mix: what an operator would set and leave. A domain of one engine can only be mixed. */
    private fun initialRoles(servers: Int): List<EngineRole> {
        if (servers == 1) return listOf(EngineRole.MIXED)
        val prefill = (servers * conditions.initialPromptShare).roundToInt().coerceIn(1, servers - 1)
        return List(servers) { if (it < prefill) EngineRole.PREFILL else EngineRole.DECODE }
    }

    private companion object {
        const val DOMAIN_SECONDS = 0.001
        const val REGION_SECONDS = 0.005
    }
}
