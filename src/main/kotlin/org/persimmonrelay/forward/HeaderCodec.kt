/*
 * Forwards callers' requests to backend servers: each request has one or more attempts and one response. Only the
 * implementation of HeaderCodec knows the names and formats of headers; the rest of the package does not.
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

/** Identifies the KV cache of a prompt that [server] has prefilled. It can be fetched once. */
public data class KvHandle(val server: ServerAddress, val id: String)

/** Part of a request's work that a server is to do. */
public sealed interface ServerTask {
    /** Run the whole request. */
    public data object Run : ServerTask

    /** Prefill the prompt only. */
    public data object Prefill : ServerTask

    /** Decode with the KV cache of [handle]. */
    public data class Decode(val handle: KvHandle) : ServerTask
}

/**
 * Values for the headers that the relay adds to a request to a server. If [fetchFrom] is given, the server copies the
 * cached part of the prompt from the engine at that address before it prefills the rest.
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
 * the server itself produced the response. [requestsPerSecond] is the limit that the server names for the requests of
 * all nodes together; null when it names none. [isLeaving] is true when the server says that it is about to shut down.
 */
public data class ServerResponseFields(
    val requestId: String?,
    val notExecuted: Boolean,
    val hasServerProof: Boolean,
    val requestsPerSecond: Double? = null,
    val isLeaving: Boolean = false,
)

/** Parses and builds the headers of callers and servers. */
public interface HeaderCodec {
    /** Parses a caller's headers; null when they carry no request id. */
    public fun parseRequest(head: CallerHead): RequestAttributes?

    /** Headers of a request to a server. */
    public fun serverHeaders(head: CallerHead, details: ServerRequestDetails): HttpHeaders

    /** Parses a server's response headers. */
    public fun parseResponse(headers: HttpHeaders): ServerResponseFields

    /** Parses the handle in the [body] of a server's response to [ServerTask.Prefill]; null when there is none. */
    public fun parseKvHandle(server: ServerAddress, body: ByteArray): KvHandle?

    /** Request that frees the KV cache of [handle], which will not be fetched. */
    public fun freeHandleRequest(handle: KvHandle): OutgoingRequest

    /** Response headers to forward to the caller. */
    public fun callerHeaders(headers: HttpHeaders): HttpHeaders

    /**
     * Headers of a response that this node generates for the request [id]. [retryAfter] is how long the caller should
     * wait before it retries; null sets no such header.
     */
    public fun generatedHeaders(id: String?, retryAfter: Duration?): HttpHeaders
}
