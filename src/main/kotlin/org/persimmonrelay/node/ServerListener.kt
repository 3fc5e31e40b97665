package org.persimmonrelay.node

import org.persimmonrelay.backend.BackendDirectory
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.platform.FeedAnswer
import org.persimmonrelay.platform.RowListener
import org.persimmonrelay.platform.StoreHealth

/** Updates [directory] from the store's rows of backend servers. */
internal class ServerListener(
    private val reader: RowReader,
    private val directory: BackendDirectory,
    private val health: () -> StoreHealth,
    private val clock: Clock,
) : RowListener {
    override fun replaced(answer: FeedAnswer) {
        val servers = answer.rows.mapNotNull(reader::backendServer)
        val now = clock.now()
        directory.replaceAll(servers, health().mayHaveLapsed(now), now)
    }

    override fun changed(answer: FeedAnswer) {
        val now = clock.now()
        for (row in answer.rows) {
            val server = reader.backendServer(row)
            if (server == null) {
                directory.removed(ServerId(row.key), health().mayHaveLapsed(now), now)
            } else {
                directory.changed(server)
            }
        }
    }
}
