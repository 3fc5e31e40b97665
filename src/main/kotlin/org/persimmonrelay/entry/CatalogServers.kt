package org.persimmonrelay.entry

import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.combine
import org.persimmonrelay.catalog.BackendServerConfig
import org.persimmonrelay.catalog.CatalogSource
import org.persimmonrelay.catalog.CatalogView
import org.persimmonrelay.catalog.Deployment
import org.persimmonrelay.catalog.PlainService
import org.persimmonrelay.identity.ServerId

/** The backend servers of the catalog; those in [draining] are marked as draining. */
public class CatalogServers(private val catalog: CatalogSource, private val draining: StateFlow<Set<ServerId>>) {
    /** The active configuration. */
    public val view: CatalogView get() = catalog.view.value

    /** Emits whenever the results of the other functions may have changed. */
    public val changes: Flow<Unit> = catalog.view.combine(draining) { _, _ -> }

    public fun of(deployment: Deployment): List<BackendServerConfig> = markDraining(view.serversOf(deployment))

    /** Servers of [service] that accept new work. */
    public fun acceptingWork(service: PlainService): List<BackendServerConfig> =
        markDraining(view.serversOf(service)).filterNot { it.drain }

    private fun markDraining(servers: List<BackendServerConfig>): List<BackendServerConfig> {
        val drainingNow = draining.value
        if (drainingNow.isEmpty()) return servers
        return servers.map { if (ServerId(it.name) in drainingNow) it.copy(drain = true) else it }
    }
}
