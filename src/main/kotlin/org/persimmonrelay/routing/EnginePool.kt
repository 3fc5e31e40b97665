package org.persimmonrelay.routing

import org.persimmonrelay.catalog.BackendServerConfig
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.engine.EngineLoadReport
import org.persimmonrelay.fairness.FairShareLedger
import org.persimmonrelay.identity.ServerId
import kotlin.time.Duration.Companion.seconds

/** The engines that may serve a deployment, as this node sees them. Not thread-safe. */
internal class EnginePool(
    private val settings: RoutingSettings,
    private val outliers: OutlierDetector,
    private val waitModel: WaitModel,
    private val ledger: FairShareLedger,
) {
    private val engines = HashMap<ServerId, EngineEstimate>()
    private val domains = HashMap<ServerId, String>()
    private var newestReport = Moment.ZERO
    private var prefillEngines: List<EngineEstimate> = emptyList()
    private var decodersByDomain: Map<String, List<EngineEstimate>> = emptyMap()

    /** Engines that run prefill and take new requests, ejected ones included. */
    val prefillers: List<EngineEstimate>
        get() = prefillEngines

    /** [prefillers] by failure domain. */
    var groups: List<EngineGroup> = emptyList()
        private set

    val isEmpty: Boolean
        get() = prefillEngines.isEmpty()

    fun decoders(domain: String): List<EngineEstimate> = decodersByDomain[domain] ?: emptyList()

    fun engine(id: ServerId): EngineEstimate? = engines[id]

    /** Failure domain of a present or removed engine; null if unknown. */
    fun domainOf(id: ServerId): String? = domains[id]

    /** True unless the engine is ejected, or its reports are missing for long while others report. */
    fun usable(engine: EngineEstimate, now: Moment): Boolean =
        engine.lastReportAt >= newestReport - settings.silentSeconds.seconds && !outliers.isEjected(engine.id, now)

    fun hasPrefillRoom(now: Moment): Boolean = prefillEngines.any { it.hasPrefillRoom(now) && usable(it, now) }

    fun setServers(servers: List<BackendServerConfig>, now: Moment) {
        val names = servers.mapTo(HashSet()) { ServerId(it.name) }
        engines.keys.retainAll(names)
        servers.forEach { server ->
            val id = ServerId(server.name)
            domains[id] = server.domain
            engines.getOrPut(id) { EngineEstimate(server, settings, waitModel, ledger, now) }.server = server
        }
        if (domains.size > MAX_FORMER * (engines.size + 1)) domains.keys.retainAll(names)
        outliers.setPool(names)
        regroup()
    }

    fun reported(report: EngineLoadReport, now: Moment) {
        val engine = engines[report.server] ?: return
        newestReport = now
        val role = engine.role
        val draining = engine.draining
        engine.reported(report, now)
        if (engine.role != role || engine.draining != draining) regroup()
    }

    private fun regroup() {
        val open = engines.values.filterNot { it.draining }.sortedBy { it.server.name }
        decodersByDomain = open.filter { it.canDecode() }.groupBy { it.server.domain }
        prefillEngines = open.filter { it.canPrefill() && it.server.domain in decodersByDomain }
        groups = prefillEngines.groupBy { it.server.domain }.map { (domain, engines) -> EngineGroup(domain, engines) }
    }

    private companion object {
        /** Removed engines whose failure domain is still stored, per present engine. */
        const val MAX_FORMER = 4
    }
}
