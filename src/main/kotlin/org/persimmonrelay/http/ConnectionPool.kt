package org.persimmonrelay.http

import arrow.core.Either
import arrow.core.right
import org.persimmonrelay.clock.Moment
import kotlin.time.Duration

/** A connection from a pool. [isFresh] is true when it was opened for this request. */
public data class PooledConnection(val connection: HttpConnection, val isFresh: Boolean)

/** Pool of connections to one server instance; reuses the newest first. Confined to its connector's thread. */
public class ConnectionPool(private val connector: HttpConnector, private val address: ServerAddress) {
    private val idle = ArrayDeque<HttpConnection>()

    /** Number of connections in use or being opened. */
    public var busy: Int = 0
        private set

    /** True if an idle connection can be reused at [now]. */
    public fun hasIdle(now: Moment): Boolean = idle.any { it.isReusable(now) }

    /** Takes an idle connection or opens one within [timeout]. The caller must return it with [release]. */
    public suspend fun acquire(now: Moment, timeout: Duration): Either<ConnectFailure, PooledConnection> {
        val reused = takeIdle(now)
        busy++
        if (reused != null) return PooledConnection(reused, isFresh = false).right()
        var opened = false
        try {
            val result = connector.connect(address, timeout)
            opened = result.isRight()
            return result.map { PooledConnection(it, isFresh = true) }
        } finally {
            if (!opened) busy--
        }
    }

    /** Opens a connection within [timeout], even if an idle one can be reused, and keeps it for later. */
    public suspend fun openAnother(timeout: Duration): Either<ConnectFailure, Unit> =
        connector.connect(address, timeout).map { idle.addLast(it) }

    /** Returns [connection] to the pool, or closes it if it can't be reused. */
    public fun release(connection: HttpConnection, now: Moment) {
        busy--
        if (connection.isReusable(now)) idle.addLast(connection) else connection.close()
    }

    /** Closes idle connections. Connections in use are not affected. */
    public fun close() {
        idle.forEach { it.close() }
        idle.clear()
    }

    private fun takeIdle(now: Moment): HttpConnection? {
        while (idle.isNotEmpty()) {
            val connection = idle.removeLast()
            if (connection.isReusable(now)) return connection
            connection.close()
        }
        return null
    }
}
