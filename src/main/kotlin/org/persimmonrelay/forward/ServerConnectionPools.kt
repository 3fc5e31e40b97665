package org.persimmonrelay.forward

import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.backend.BackendView
import org.persimmonrelay.backend.ServerInstance
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.http.ConnectionPool
import org.persimmonrelay.http.HttpConnector

/**
 * Connection pools of backend servers. Limits this node to its share of the connections that a server accepts from all
 * nodes. Confined to the traffic thread.
 */
internal class ServerConnectionPools(private val connector: HttpConnector, private val nodeCount: () -> Int) {
    private val pools = HashMap<ServerInstance, ConnectionPool>()

    /** The pool for [server], or null when this node's share of [maxConnections] is in use at [now]. */
    fun poolFor(server: BackendServer, maxConnections: Int, now: Moment): ConnectionPool? {
        val pool = pools.getOrPut(server.instance) { ConnectionPool(connector, server.address) }
        val share = (maxConnections * USED_SHARE / nodeCount().coerceAtLeast(1)).toInt().coerceAtLeast(MIN_CONNECTIONS)
        return pool.takeIf { it.hasIdle(now) || it.busy < share }
    }

    /** Removes the pools of servers that are not in [view] and closes their idle connections. */
    fun retain(view: BackendView) {
        pools.entries.removeIf { (instance, pool) ->
            val gone = instance !in view
            if (gone) pool.close()
            gone
        }
    }

    private companion object {
        /** Share of a server's limit that nodes use. The rest is for starting nodes and closing connections. */
        const val USED_SHARE = 0.8
        const val MIN_CONNECTIONS = 2
    }
}
