package org.persimmonrelay.http

import io.netty.handler.codec.http.HttpHeaders
import org.persimmonrelay.clock.Moment

/** A caller's request line and headers. [target] is the path with its query as the caller sent it. */
public data class CallerHead(val method: String, val target: String, val headers: HttpHeaders) {
    /** The path without the query. */
    public val path: String
        get() = target.substringBefore('?')
}

/** A whole answer to a caller. */
public class CallerResponse(
    public val status: Int,
    public val headers: HttpHeaders,
    public val body: ByteArray,
    public val closes: Boolean = false,
)

/** How the body of an answer to a caller is delimited. */
public enum class CallerFraming { CHUNKED, UNTIL_CLOSE }

/**
 * A caller's whole request and the way back. One of [respond] and [startResponse] is called once. The coroutine that
 * handles it is cancelled when the caller goes away. Confined to its server's thread.
 */
public interface CallerExchange {
    public val head: CallerHead
    public val body: ByteArray
    public val arrivedAt: Moment

    /** True once [startResponse] or [respond] was called. */
    public val isResponseStarted: Boolean

    /** Sends a whole answer. */
    public fun respond(response: CallerResponse)

    /** Sends status and headers of an answer whose body follows by [write]. */
    public fun startResponse(status: Int, headers: HttpHeaders, framing: CallerFraming)

    /** Sends bytes of the body. */
    public fun write(bytes: ByteArray)

    /** The body is complete. */
    public fun endResponse()

    /** Ends the connection so that the answer does not look complete. */
    public fun abort()
}

/** Handles callers' requests. */
public fun interface CallerHandler {
    public suspend fun handle(exchange: CallerExchange)
}
