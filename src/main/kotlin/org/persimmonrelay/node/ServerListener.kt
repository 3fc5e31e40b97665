package org.persimmonrelay.node

import org.persimmonrelay.backend.BackendDirectory
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.platform.FeedResponse
import org.persimmonrelay.platform.RowListener
import org.persimmonrelay.platform.StoreHealth

/** Updates [directory] from the store's rows of backend servers. */
internal class ServerListener(
    private val reader: RowReader,
    private val directory: BackendDirectory,
    private val health: () -> StoreHealth,
    private val clock: Clock,
) : RowListener {
    private var restores = 0L

    override fun onSnapshot(response: FeedResponse) {
        val servers = response.rows.mapNotNull(reader::backendServer)
        val now = clock.now()
        if (restores != 0L && response.version.restores != restores) directory.storeRestored(now)
        restores = response.version.restores
        directory.replaceAll(servers, health().entriesMayHaveExpired(now), now)
    }

    override fun onChanges(response: FeedResponse) {
        val now = clock.now()
        for (row in response.rows) {
            val server = reader.backendServer(row)
            if (server == null) {
                directory.removed(ServerId(row.key), health().entriesMayHaveExpired(now), now)
            } else {
                directory.changed(server)
            }
        }
    }
}
