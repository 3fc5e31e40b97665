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

/**
 * Request attributes from a caller's headers. [callerTimeout] is how long the caller waits, [lastEventId] the last
 * stream event that the caller has received.
 */
public data class RequestAttributes(
    val id: String,
    val apiKey: String?,
    val callerTimeout: Duration?,
    val prompt: List<PromptPart>,
    val promptTokens: Int,
    val outputTokens: Int,
    val lastEventId: Long?,
)

/** The KV cache of a prompt that was read at [server], to be taken there once. */
public data class KvHandle(val server: ServerAddress, val id: String)

/** What a server is asked to do with a request. */
public sealed interface ServerTask {
    /** To run it. */
    public data object Run : ServerTask

    /** To read its prompt only. */
    public data object Prefill : ServerTask

    /** To run it with the KV cache that [handle] names. */
    public data class Decode(val handle: KvHandle) : ServerTask
}

/**
 * What one send to a server says beside the caller's own headers. The server copies what the engine at [fetchFrom]
 * keeps of the prompt before it reads the rest.
 */
public data class ServerRequestDetails(
    val instance: ServerInstance,
    val remainingTime: Duration,
    val workspace: WorkspaceId?,
    val priority: Int?,
    val lastEventId: Long?,
    val bodyBytes: Int,
    val task: ServerTask = ServerTask.Run,
    val fetchFrom: ServerAddress? = null,
)

/**
 * Fields of a server's response headers. [hasServerProof] is true when they carry the server's stamp, which shows that
 * the server itself produced the response.
 */
public data class ServerResponseFields(val requestId: String?, val notExecuted: Boolean, val hasServerProof: Boolean)

/** Reads and writes the headers of callers and servers. */
public interface HeaderCodec {
    /** What the head says; null when it names no request. */
    public fun parseRequest(head: CallerHead): RequestAttributes?

    /** The headers to send to a server. */
    public fun serverHeaders(head: CallerHead, details: ServerRequestDetails): HttpHeaders

    /** What a server's headers say. */
    public fun parseResponse(headers: HttpHeaders): ServerResponseFields

    /** The handle in the [body] of a server's answer to [ServerTask.Prefill]; null when there is none. */
    public fun parseKvHandle(server: ServerAddress, body: ByteArray): KvHandle?

    /** The call that frees [handle], which will not be taken. */
    public fun freeHandleRequest(handle: KvHandle): OutgoingRequest

    /** The headers to pass on to the caller. */
    public fun callerHeaders(headers: HttpHeaders): HttpHeaders

    /** The headers of an answer of this node's own to the request [id], to come back after [retryAfter]. */
    public fun generatedHeaders(id: String?, retryAfter: Duration?): HttpHeaders
}
