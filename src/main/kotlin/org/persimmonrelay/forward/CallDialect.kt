/*
 * Forwarding of callers' requests to backend servers: one request, its attempts, its answer. What stands in which
 * header is the dialect's matter; everything else here speaks of attempts, servers and answers only.
 */
package org.persimmonrelay.forward

import io.netty.handler.codec.http.HttpHeaders
import org.persimmonrelay.backend.PromptPart
import org.persimmonrelay.backend.ServerInstance
import org.persimmonrelay.http.CallerHead
import org.persimmonrelay.http.OutgoingRequest
import org.persimmonrelay.http.ServerAddress
import org.persimmonrelay.identity.WorkspaceId
import kotlin.time.Duration

/** What a caller's headers say. [patience] is how long the caller waits; [lastEvent] is where a stream goes on. */
public data class CallAttributes(
    val id: String,
    val key: String?,
    val patience: Duration?,
    val prompt: List<PromptPart>,
    val promptTokens: Int,
    val outputTokens: Int,
    val lastEvent: Long?,
)

/** The KV cache of a prompt that was read at [server], to be taken there once. */
public data class KvHandle(val server: ServerAddress, val id: String)

/** What a server is asked to do with a request. */
public sealed interface SendWork {
    /** To run it. */
    public data object Run : SendWork

    /** To read its prompt only. */
    public data object ReadPrompt : SendWork

    /** To run it with the KV cache that [handle] names. */
    public data class RunFrom(val handle: KvHandle) : SendWork
}

/**
 * What one send to a server says beside the caller's own headers. The server copies what the engine at [fetchFrom]
 * keeps of the prompt before it reads the rest.
 */
public data class SendDetails(
    val instance: ServerInstance,
    val remaining: Duration,
    val workspace: WorkspaceId?,
    val priority: Int?,
    val lastEvent: Long?,
    val bodyBytes: Int,
    val work: SendWork = SendWork.Run,
    val fetchFrom: ServerAddress? = null,
)

/** What a server's headers say of its answer. [isProven] when they carry the server's proof that it is its own. */
public data class ServerSignals(val requestId: String?, val notExecuted: Boolean, val isProven: Boolean)

/** Reads and writes the headers of callers and servers. */
public interface CallDialect {
    /** What the head says; null when it names no request. */
    public fun read(head: CallerHead): CallAttributes?

    /** The headers to send to a server. */
    public fun toServer(head: CallerHead, details: SendDetails): HttpHeaders

    /** What a server's headers say. */
    public fun signals(headers: HttpHeaders): ServerSignals

    /** The handle in the [body] of a server's answer to [SendWork.ReadPrompt]; null when there is none. */
    public fun handle(server: ServerAddress, body: ByteArray): KvHandle?

    /** The call that frees [handle], which will not be taken. */
    public fun freeHandle(handle: KvHandle): OutgoingRequest

    /** The headers to pass on to the caller. */
    public fun toCaller(headers: HttpHeaders): HttpHeaders

    /** The headers of an answer of this node's own to the request [id], to come back after [retryAfter]. */
    public fun own(id: String?, retryAfter: Duration?): HttpHeaders
}
