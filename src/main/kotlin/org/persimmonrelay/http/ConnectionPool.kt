package org.persimmonrelay.http

import arrow.core.Either
import arrow.core.right
import org.persimmonrelay.clock.Moment
import kotlin.time.Duration

/** A connection to send on; [isFresh] when it was opened for this request. */
public data class PooledConnection(val connection: HttpConnection, val isFresh: Boolean)

/** Keeps idle connections to one server instance, newest first. Confined to its connector's thread. */
public class ConnectionPool(private val connector: HttpConnector, private val address: ServerAddress) {
    private val idle = ArrayDeque<HttpConnection>()

    /** Connections that carry an exchange. */
    public var busy: Int = 0
        private set

    /** True when a request can be sent at [now] without a new connection. */
    public fun hasIdle(now: Moment): Boolean = idle.any { it.isReusable(now) }

    /** Takes an idle connection or opens one within [timeout]. The caller gives it back with [release]. */
    public suspend fun acquire(now: Moment, timeout: Duration): Either<ConnectFailure, PooledConnection> {
        val kept = takeIdle(now)
        busy++
        if (kept != null) return PooledConnection(kept, isFresh = false).right()
        var opened = false
        try {
            val result = connector.connect(address, timeout)
            opened = result.isRight()
            return result.map { PooledConnection(it, isFresh = true) }
        } finally {
            if (!opened) busy--
        }
    }

    /** Takes [connection] back; one that can't be used again is closed. */
    public fun release(connection: HttpConnection, now: Moment) {
        busy--
        if (connection.isReusable(now)) idle.addLast(connection) else connection.close()
    }

    /** Closes what is idle; what is busy is closed when it comes back or by whoever uses it. */
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
