package org.persimmonrelay.forward

import kotlinx.coroutines.withTimeoutOrNull
import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.http.OutgoingRequest
import org.persimmonrelay.http.ResponsePart
import kotlin.time.Duration

/** Complete response of a server to a call that this node makes itself. */
internal class ServerResponse(val status: Int, val fields: ServerResponseFields, val body: ByteArray) {
    val isOk: Boolean
        get() = status == OK

    private companion object {
        const val OK = 200
    }
}

/** Makes this node's own calls to backend servers, apart from callers' requests. Confined to the traffic thread. */
internal class ServerClient(
    private val pools: ServerConnectionPools,
    private val headerCodec: HeaderCodec,
    private val clock: Clock,
) {
    /** Sends [request] to [server]; null when no complete response arrives within [timeout]. */
    suspend fun call(server: BackendServer, request: OutgoingRequest, timeout: Duration): ServerResponse? =
        withTimeoutOrNull(timeout) { exchange(server, request, timeout) }

    private suspend fun exchange(server: BackendServer, request: OutgoingRequest, timeout: Duration): ServerResponse? {
        val pool = pools.poolFor(server, MAX_CONNECTIONS, clock.now()) ?: return null
        val connection = pool.acquire(clock.now(), timeout).getOrNull()?.connection ?: return null
        try {
            connection.send(request)
            val head = connection.receive() as? ResponsePart.Head ?: return null
            val body =
                ResponseReader(connection, head, clock).readBody(MAX_BODY_BYTES) as? BodyReadResult.Complete
            return body?.let { ServerResponse(head.status, headerCodec.parseResponse(head.headers), it.bytes) }
        } finally {
            if (!connection.isReusable(clock.now())) connection.close()
            pool.release(connection, clock.now())
        }
    }

    private companion object {
        const val MAX_CONNECTIONS = 50
        const val MAX_BODY_BYTES = 512 * 1024
    }
}
