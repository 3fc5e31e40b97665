package org.persimmonrelay.forward

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with
import kotlin.time.Duration.Companion.milliseconds

/** Frees KV cache that nobody will take; what fails expires by itself. Confined to the traffic thread. */
internal class HandleReleases(
    private val scope: CoroutineScope,
    private val calls: ServerCalls,
    private val dialect: HeaderCodec,
    private val events: EventSink,
) {
    fun free(server: BackendServer, handle: KvHandle) {
        scope.launch {
            val reply = calls.call(server, dialect.freeHandleRequest(handle), TIMEOUT)
            if (reply == null) events.record(ForwardEvent.HANDLE_NOT_FREED, "server" with server.instance.id)
        }
    }

    private companion object {
        val TIMEOUT = 300.milliseconds
    }
}
