package org.persimmonrelay.http

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelOption
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import org.persimmonrelay.clock.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A request to a server. [target] is the path with its query, unchanged. */
public class OutgoingRequest(
    public val method: String,
    public val target: String,
    public val headers: HttpHeaders,
    public val body: ByteArray,
)

/** A connection to a server that carries one request at a time. Confined to its connector's thread. */
public class HttpConnection internal constructor(private val channel: Channel, private val responses: ResponseHandler) {
    private var idleSince: Moment? = null
    private var idleTimeout: Duration? = null

    /** True if another request may be sent on the connection at [now]. */
    public fun isReusable(now: Moment): Boolean {
        if (!channel.isActive || responses.isUnusable) return false
        if (responses.isResponseExpected || !responses.isRequestWritten) return false
        val limit = idleTimeout ?: return true
        return idleSince?.let { now - it < limit } ?: true
    }

    /** Sends [request]; read its response with [receive]. */
    public fun send(request: OutgoingRequest) {
        responses.requestStarted(request)
        val message = DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(request.method),
            request.target,
            Unpooled.wrappedBuffer(request.body),
        )
        message.headers().set(request.headers)
        channel.writeAndFlush(message).addListener {
            if (it.isSuccess) responses.requestWritten() else responses.requestFailed()
        }
    }

    /** Waits for the next part of the response. */
    public suspend fun receive(): ResponsePart = responses.receive()

    /** Marks the connection as idle from [now] on, after a complete response with [headers]. */
    public fun responseCompleted(headers: HttpHeaders, now: Moment) {
        responses.responseCompleted()
        idleSince = now
        idleTimeout = keepAlive(headers)
        if (responses.decoder.undecodedBytes() > 0) close()
    }

    /** Closes the connection with a reset and discards data that was not sent yet. */
    public fun close() {
        if (!channel.isOpen) return
        channel.config().setOption(ChannelOption.SO_LINGER, 0)
        channel.close()
    }

    /**
     * How long the server keeps an idle connection open, less a margin for requests in transit; null when the response
     * does not say.
     */
    private fun keepAlive(headers: HttpHeaders): Duration? {
        val value = headers.get(KEEP_ALIVE) ?: return null
        val seconds = KEEP_ALIVE_TIMEOUT.find(value)?.groupValues?.get(1)?.toLongOrNull() ?: return null
        return seconds.seconds - KEEP_ALIVE_MARGIN
    }

    private companion object {
        const val KEEP_ALIVE = "Keep-Alive"
        val KEEP_ALIVE_TIMEOUT = Regex("timeout=(\\d+)")
        val KEEP_ALIVE_MARGIN = 400.milliseconds
    }
}
