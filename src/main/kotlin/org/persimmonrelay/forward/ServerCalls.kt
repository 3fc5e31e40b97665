package org.persimmonrelay.forward

import kotlinx.coroutines.withTimeoutOrNull
import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.http.OutgoingRequest
import org.persimmonrelay.http.ResponsePart
import kotlin.time.Duration

/** The whole answer of a server to a call of this node's own. */
internal class ServerReply(val status: Int, val body: ByteArray) {
    val isOk: Boolean
        get() = status == OK

    private companion object {
        const val OK = 200
    }
}

/** This node's own calls to backend servers, beside callers' requests. Confined to the traffic thread. */
internal class ServerCalls(private val connections: ServerConnections, private val clock: Clock) {
    /** Sends [request] to [server]; null when no whole answer comes within [timeout]. */
    suspend fun call(server: BackendServer, request: OutgoingRequest, timeout: Duration): ServerReply? =
        withTimeoutOrNull(timeout) { exchange(server, request, timeout) }

    private suspend fun exchange(server: BackendServer, request: OutgoingRequest, timeout: Duration): ServerReply? {
        val pool = connections.poolFor(server, MOST_CONNECTIONS, clock.now()) ?: return null
        val connection = pool.acquire(clock.now(), timeout).getOrNull()?.connection ?: return null
        try {
            connection.send(request)
            val head = connection.receive() as? ResponsePart.Head ?: return null
            val body = AnswerReader(connection, head, clock).whole(MOST_BYTES, timeout) as? ReadBody.Whole
            return body?.let { ServerReply(head.status, it.bytes) }
        } finally {
            if (!connection.isReusable(clock.now())) connection.close()
            pool.release(connection, clock.now())
        }
    }

    private companion object {
        const val MOST_CONNECTIONS = 50
        const val MOST_BYTES = 512 * 1024
    }
}
