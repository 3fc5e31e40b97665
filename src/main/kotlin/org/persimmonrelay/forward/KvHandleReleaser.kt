package org.persimmonrelay.forward

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with
import kotlin.time.Duration.Companion.milliseconds

/**
 * Frees KV cache that will not be used. If a call fails, the cache expires on the server. Confined to the traffic
 * thread.
 */
internal class KvHandleReleaser(
    private val scope: CoroutineScope,
    private val client: ServerClient,
    private val headerCodec: HeaderCodec,
    private val events: EventSink,
) {
    fun free(server: BackendServer, handle: KvHandle) {
        scope.launch {
            val response = client.call(server, headerCodec.freeHandleRequest(handle), TIMEOUT)
            if (response == null) events.record(ForwardEvent.HANDLE_NOT_FREED, "server" with server.instance.id)
        }
    }

    private companion object {
        val TIMEOUT = 300.milliseconds
    }
}
