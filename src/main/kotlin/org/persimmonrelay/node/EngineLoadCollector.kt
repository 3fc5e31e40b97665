package org.persimmonrelay.node

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import org.persimmonrelay.catalog.BackendServerConfig
import org.persimmonrelay.catalog.CatalogSource
import org.persimmonrelay.engine.EngineAddress
import org.persimmonrelay.engine.EngineClient
import org.persimmonrelay.engine.EngineLoadReport
import org.persimmonrelay.identity.Region
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.membership.EngineLoadGossip
import kotlin.coroutines.coroutineContext
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Polls the load of the engines assigned to this node and publishes the reports by gossip. */
internal class EngineLoadCollector(
    private val engines: EngineClient,
    private val catalog: CatalogSource,
    private val summaries: EngineLoadGossip,
    private val period: Duration = 500.milliseconds,
) {
    /**
     * Collects every [period] until cancelled. Engines are polled in parallel, so one that does not answer delays the
     * others by its timeout at most.
     */
    suspend fun run() {
        while (coroutineContext.isActive) {
            summaries.publish(collect())
            delay(period)
        }
    }

    private suspend fun collect(): List<EngineLoadReport> = coroutineScope {
        val assigned = engineServers().filter { summaries.isCollectorOf(ServerId(it.name), Region(it.region)) }
        assigned.map { async { engines.loadReport(EngineAddress(it.address)).getOrNull() } }.awaitAll().filterNotNull()
    }

    private fun engineServers(): List<BackendServerConfig> {
        val view = catalog.view.value
        return view.deployments().flatMap(view::serversOf).distinctBy { it.name }
    }
}
