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

/** A request as it is sent. [target] is the path with its query, unchanged. */
public class OutgoingRequest(
    public val method: String,
    public val target: String,
    public val headers: HttpHeaders,
    public val body: ByteArray,
)

/** One connection to a server, for one exchange at a time. Confined to its connector's thread. */
public class HttpConnection internal constructor(private val channel: Channel, private val inbox: AnswerInbox) {
    private var idleSince: Moment? = null
    private var idleLimit: Duration? = null
    private var written = true

    /** True when another request may be sent on it at [now]. */
    public fun isReusable(now: Moment): Boolean {
        if (!channel.isActive || inbox.spoiled) return false
        if (inbox.expecting || !written) return false
        val limit = idleLimit ?: return true
        return idleSince?.let { now - it < limit } ?: true
    }

    /** Sends [request]; its answer arrives through [receive]. */
    public fun send(request: OutgoingRequest) {
        inbox.expecting = true
        inbox.decoder.bodyless = request.method == HttpMethod.HEAD.name()
        written = false
        val message = DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(request.method),
            request.target,
            Unpooled.wrappedBuffer(request.body),
        )
        message.headers().set(request.headers)
        channel.writeAndFlush(message).addListener { written = it.isSuccess }
    }

    /** The next part of the answer. */
    public suspend fun receive(): ResponsePart = inbox.parts.receive()

    /** The answer is complete; the connection is idle from [now] on. [headers] are those of the answer. */
    public fun responseCompleted(headers: HttpHeaders, now: Moment) {
        inbox.expecting = false
        idleSince = now
        idleLimit = keepAlive(headers)
        if (inbox.decoder.leftover() > 0) close()
    }

    /** Closes the connection at once and drops what is still to be sent. */
    public fun close() {
        if (!channel.isOpen) return
        channel.config().setOption(ChannelOption.SO_LINGER, 0)
        channel.close()
    }

    /** How long the server keeps the connection when idle, less a margin for what is under way; null when unknown. */
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
