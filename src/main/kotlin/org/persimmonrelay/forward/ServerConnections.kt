package org.persimmonrelay.forward

import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.backend.BackendView
import org.persimmonrelay.backend.ServerInstance
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.http.ConnectionPool
import org.persimmonrelay.http.HttpConnector

/**
 * Connections to backend servers. Keeps this node within its share of what a server accepts from all nodes.
 * Confined to the traffic thread.
 */
internal class ServerConnections(private val connector: HttpConnector, private val nodes: () -> Int) {
    private val pools = HashMap<ServerInstance, ConnectionPool>()

    /** The pool for [server], or null when this node's share of [maxConnections] is in use at [now]. */
    fun poolFor(server: BackendServer, maxConnections: Int, now: Moment): ConnectionPool? {
        val pool = pools.getOrPut(server.instance) { ConnectionPool(connector, server.address) }
        val share = (maxConnections * USED_SHARE / nodes().coerceAtLeast(1)).toInt().coerceAtLeast(LEAST)
        return pool.takeIf { it.hasIdle(now) || it.busy < share }
    }

    /** Closes idle connections to servers that are not in [view]. */
    fun retain(view: BackendView) {
        pools.entries.removeIf { (instance, pool) ->
            val gone = instance !in view
            if (gone) pool.close()
            gone
        }
    }

    private companion object {
        /** The rest is left to nodes that are starting and to connections that are being closed. */
        const val USED_SHARE = 0.8
        const val LEAST = 2
    }
}
