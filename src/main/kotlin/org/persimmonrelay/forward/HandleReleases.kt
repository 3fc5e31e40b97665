package org.persimmonrelay.forward

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.http.AnswerPart
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with
import kotlin.time.Duration.Companion.milliseconds

/** Frees KV cache that nobody will take; what fails expires by itself. Confined to the traffic thread. */
internal class HandleReleases(
    private val scope: CoroutineScope,
    private val connections: ServerConnections,
    private val dialect: CallDialect,
    private val clock: Clock,
    private val events: EventSink,
) {
    fun free(server: BackendServer, handle: KvHandle) {
        scope.launch {
            val freed = withTimeoutOrNull(TIMEOUT) { send(server, handle) } ?: false
            if (!freed) events.record(ForwardEvent.HANDLE_NOT_FREED, "server" with server.instance.id)
        }
    }

    private suspend fun send(server: BackendServer, handle: KvHandle): Boolean {
        val pool = connections.poolFor(server, MOST_CONNECTIONS, clock.now()) ?: return false
        val connection = pool.acquire(clock.now(), TIMEOUT).getOrNull()?.connection ?: return false
        try {
            connection.send(dialect.freeHandle(handle))
            val head = connection.receive() as? AnswerPart.Head ?: return false
            return AnswerReader(connection, head, clock).whole(MOST_BYTES, TIMEOUT) is ReadBody.Whole
        } finally {
            if (!connection.isReusable(clock.now())) connection.close()
            pool.release(connection, clock.now())
        }
    }

    private companion object {
        const val MOST_CONNECTIONS = 50
        const val MOST_BYTES = 4_096
        val TIMEOUT = 300.milliseconds
    }
}
