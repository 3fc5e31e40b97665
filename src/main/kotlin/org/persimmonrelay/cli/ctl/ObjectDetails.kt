package org.persimmonrelay.cli.ctl

import org.persimmonrelay.catalog.ApiKey
import org.persimmonrelay.catalog.BackendServerConfig
import org.persimmonrelay.catalog.CatalogObject
import org.persimmonrelay.catalog.Deployment
import org.persimmonrelay.catalog.Limit
import org.persimmonrelay.catalog.PlainService
import org.persimmonrelay.catalog.Pool
import org.persimmonrelay.catalog.Workspace

/** Text of the DETAILS column: the main fields of an object. */
internal object ObjectDetails {
    fun of(value: CatalogObject): String = when (value) {
        is Workspace -> "weight ${value.weight}"
        is ApiKey -> key(value)
        is Deployment -> "model ${value.model}, pools \"${value.pools}\""
        is Pool -> "servers \"${value.servers}\""
        is BackendServerConfig -> server(value)
        is PlainService -> "servers \"${value.servers}\"" + if (value.open) ", open" else ""
        is Limit -> limit(value)
    }

    private fun key(key: ApiKey): String {
        val owner = key.workspace?.let { "workspace $it" } ?: "operator"
        val state = if (key.cutRunning) {
            "withdrawn, running requests aborted"
        } else if (key.withdrawn) {
            "withdrawn"
        } else {
            "valid"
        }
        return "$owner, $state"
    }

    private fun server(server: BackendServerConfig): String {
        val drain = if (server.drain) ", draining" else ""
        return "${server.address}, ${server.domain}, ${server.price.name.lowercase()}$drain"
    }

    private fun limit(limit: Limit): String = listOfNotNull(
        limit.tokensPerMinute?.let { "$it tokens per minute" },
        limit.concurrentRequests?.let { "$it concurrent requests" },
    ).joinToString()
}
