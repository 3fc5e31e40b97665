package org.persimmonrelay.node

import org.persimmonrelay.backend.BackendDirectory
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.platform.FeedAnswer
import org.persimmonrelay.platform.RowListener
import org.persimmonrelay.platform.StoreHealth

/** Keeps [directory] as the rows of backend servers say. */
internal class ServerListener(
    private val reader: RowReader,
    private val directory: BackendDirectory,
    private val health: () -> StoreHealth,
    private val clock: Clock,
) : RowListener {
    override fun replaced(answer: FeedAnswer) {
        val servers = answer.rows.mapNotNull(reader::backendServer)
        directory.replaceAll(servers, health().isUnsteady, clock.now())
    }

    override fun changed(answer: FeedAnswer) {
        for (row in answer.rows) {
            val server = reader.backendServer(row)
            if (server == null) {
                directory.removed(ServerId(row.key), health().isUnsteady, clock.now())
            } else {
                directory.changed(server)
            }
        }
    }
}
