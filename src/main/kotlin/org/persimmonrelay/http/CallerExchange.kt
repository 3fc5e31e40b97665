package org.persimmonrelay.http

import io.netty.handler.codec.http.HttpHeaders
import org.persimmonrelay.clock.Moment

/** Request line and headers of a caller's request. [target] is the path with its query, as sent by the caller. */
public data class CallerHead(val method: String, val target: String, val headers: HttpHeaders) {
    /** The path without the query. */
    public val path: String
        get() = target.substringBefore('?')
}

/** A complete response to a caller. If [closesConnection], the connection is closed after it. */
public class CallerResponse(
    public val status: Int,
    public val headers: HttpHeaders,
    public val body: ByteArray,
    public val closesConnection: Boolean = false,
)

/**
 * A caller's complete request and the means to respond to it. Either [respond] or [startResponse] is called, once. The
 * coroutine that handles the request is cancelled when the caller disconnects. Confined to its server's thread.
 */
public interface CallerExchange {
    public val head: CallerHead
    public val body: ByteArray
    public val arrivedAt: Moment

    /** True after [startResponse] or [respond] was called. */
    public val isResponseStarted: Boolean

    /** Sends a complete response. */
    public fun respond(response: CallerResponse)

    /**
     * Sends status and headers of a response; send its body with [write] and finish with [endResponse]. Unless that is
     * called, the caller can tell that the response is incomplete, even if the process is killed.
     */
    public fun startResponse(status: Int, headers: HttpHeaders)

    /** Sends bytes of the body; call [awaitWritable] before. */
    public fun write(bytes: ByteArray)

    /** Waits until the caller has taken most of what was sent, so that a slow caller does not fill the memory. */
    public suspend fun awaitWritable()

    /** Ends the response body. */
    public fun endResponse()

    /** Resets the connection, so that the response does not look complete to the caller. */
    public fun abort()
}

/** Handles callers' requests. */
public fun interface CallerHandler {
    public suspend fun handle(exchange: CallerExchange)
}
