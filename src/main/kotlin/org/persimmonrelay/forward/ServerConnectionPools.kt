package org.persimmonrelay.forward

import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.backend.BackendView
import org.persimmonrelay.backend.ServerInstance
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.http.ConnectionPool
import org.persimmonrelay.http.HttpConnector
import kotlin.time.Duration

/**
 * Connection pools of backend servers. A server accepts a limited number of connections from all nodes. Each node may
 * use an equal share of them, and more while few requests of all nodes are [running] at the server. Confined to the
 * traffic thread.
 */
internal class ServerConnectionPools(
    private val connector: HttpConnector,
    private val nodeCount: () -> Int,
    private val running: (BackendServer) -> Int,
) {
    private val pools = HashMap<ServerInstance, ConnectionPool>()

    /** The pool for [server], or null when this node may use no more of its [maxConnections] at [now]. */
    fun poolFor(server: BackendServer, maxConnections: Int, now: Moment): ConnectionPool? {
        val pool = pools.getOrPut(server.instance) { ConnectionPool(connector, server.address) }
        return pool.takeIf { it.hasIdle(now) || it.busy < limit(server, maxConnections) }
    }

    /** True if [server] refuses another connection; one that is opened within [timeout] is kept for later requests. */
    suspend fun refusesConnection(server: BackendServer, timeout: Duration): Boolean {
        val pool = pools.getOrPut(server.instance) { ConnectionPool(connector, server.address) }
        val isRefused = pool.openAnother(timeout).fold({ it.isRefused }, { false })
        val isGone = pools[server.instance] !== pool
        if (isGone) pool.close()
        return isRefused
    }

    private fun limit(server: BackendServer, maxConnections: Int): Int {
        val share = (maxConnections * USED_SHARE / nodeCount().coerceAtLeast(1)).toInt().coerceAtLeast(MIN_CONNECTIONS)
        if (running(server) >= maxConnections * LIGHTLY_USED_SHARE) return share
        return maxOf(share, (maxConnections * LARGEST_SHARE).toInt())
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

        /** Share of a server's limit below which a node may use more than its own share. */
        const val LIGHTLY_USED_SHARE = 0.5

        /** Share of a server's limit that one node may use at most; what it reports late must fit beside it. */
        const val LARGEST_SHARE = 0.25
    }
}
