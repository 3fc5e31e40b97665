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

/** The backend servers of the catalog, with those that leave marked as draining. */
public class ServerSource(private val catalog: CatalogSource, private val leaving: StateFlow<Set<ServerId>>) {
    /** The configuration in force. */
    public val view: CatalogView get() = catalog.view.value

    /** Emits whenever the answers of the other functions may have changed. */
    public val changes: Flow<Unit> = catalog.view.combine(leaving) { _, _ -> }

    public fun of(deployment: Deployment): List<BackendServerConfig> = marked(view.serversOf(deployment))

    /** Servers of [service] that take new work. */
    public fun takingWork(service: PlainService): List<BackendServerConfig> =
        marked(view.serversOf(service)).filterNot { it.drain }

    private fun marked(servers: List<BackendServerConfig>): List<BackendServerConfig> {
        val gone = leaving.value
        if (gone.isEmpty()) return servers
        return servers.map { if (ServerId(it.name) in gone) it.copy(drain = true) else it }
    }
}
