package org.persimmonrelay.http

import io.netty.buffer.ByteBufUtil
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.ssl.SslCloseCompletionEvent
import io.netty.handler.ssl.SslHandler
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.channels.Channel
import org.persimmonrelay.clock.Clock
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Converts data received on a connection to [ResponsePart]s, and closes the connection on invalid data and on data that
 * arrives while no response is expected. Reading pauses while [MAX_BUFFERED_BYTES] or more have not been received by
 * [receive]. Confined to the connection's thread.
 */
internal class ResponseHandler(private val clock: Clock) : ChannelInboundHandlerAdapter() {
    val decoder = ResponseDecoder()
    private val parts = Channel<ResponsePart>(Channel.UNLIMITED)
    private var bufferedBytes = 0
    private var context: ChannelHandlerContext? = null

    /** True from the sending of a request to the end of its response. */
    var isResponseExpected = false
        private set

    /** True unless a request is being written. */
    var isRequestWritten = true
        private set

    private var headsSinceRequest = 0
    private var transit = RequestTransit(bodyBytes = 0, startedAt = clock.now())

    /** True when the connection must not be used for another request. */
    var isUnusable = false
        private set

    private var isInterim = false
    private var hasFailed = false
    private var framing = Framing.DELIMITED

    /** The server has ended its output, and with it a response whose end nothing else marks. */
    private var isEndUnconfirmed = false

    /** The server has marked the end of its output, as encrypted connections do. */
    private var isEndMarked = false

    /** [request] is about to be sent. */
    fun requestStarted(request: OutgoingRequest) {
        isResponseExpected = true
        isRequestWritten = false
        headsSinceRequest = 0
        decoder.bodyless = request.method == HttpMethod.HEAD.name()
        transit = RequestTransit(request.body.size, startedAt = clock.now())
    }

    /** The whole request was written. */
    fun requestWritten() {
        isRequestWritten = true
        transit = transit.copy(writtenAt = clock.now())
        if (isEndUnconfirmed) confirmEnd()
    }

    /** The request could not be written to its end, as the connection failed or was closed. */
    fun requestFailed() {
        hasFailed = true
        context?.close()
    }

    /** The response was received to its end. */
    fun responseCompleted() {
        isResponseExpected = false
    }

    /** Waits for the next part of the response. */
    suspend fun receive(): ResponsePart {
        val part = parts.receive()
        if (part is ResponsePart.Data) {
            bufferedBytes -= part.bytes.size
            updateReading()
        }
        return part
    }

    private fun updateReading() {
        context?.channel()?.config()?.isAutoRead = bufferedBytes < MAX_BUFFERED_BYTES
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (message is HttpObject) accept(context, message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun accept(context: ChannelHandlerContext, message: HttpObject) {
        when {
            message.decoderResult().isFailure -> failConnection(context, "The server sent an invalid HTTP response.")
            !isResponseExpected -> failConnection(context, "The server sent data without a request.")
            message is HttpResponse -> head(context, message)
            message is HttpContent -> content(message)
        }
    }

    private fun head(context: ChannelHandlerContext, response: HttpResponse) {
        isInterim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
        headsSinceRequest++
        if (headsSinceRequest > MAX_HEADS) return failConnection(context, "The server sent too many responses.")
        if (isInterim) return
        transit = transit.copy(respondedAt = clock.now())
        val delimited = HttpUtil.isContentLengthSet(response) ||
            HttpUtil.isTransferEncodingChunked(response) ||
            decoder.bodyless ||
            response.status().code() in BODYLESS_STATUSES
        framing = if (delimited) Framing.DELIMITED else Framing.UNTIL_CLOSE
        if (!HttpUtil.isKeepAlive(response) || !delimited) isUnusable = true
        parts.trySend(ResponsePart.Head(response.status().code(), response.headers(), framing))
    }

    private fun content(content: HttpContent) {
        if (isInterim) return
        if (content.content().isReadable) data(ByteBufUtil.getBytes(content.content()))
        if (content is LastHttpContent) end()
    }

    private fun end() {
        when {
            framing == Framing.DELIMITED -> parts.trySend(ResponsePart.End)
            hasFailed -> parts.trySend(ResponsePart.Broken(RESET))
            else -> {
                isEndUnconfirmed = true
                if (isRequestWritten) confirmEnd()
            }
        }
    }

    /** A reset after a marked end says nothing of the response: our own mark may have caused it. */
    private fun confirmEnd() {
        if (isEndMarked) {
            parts.trySend(ResponsePart.End)
        } else {
            val now = clock.now()
            awaitReset(transit.resetDeadline(now) - now)
        }
    }

    private fun awaitReset(remaining: Duration) {
        val check = Runnable { checkEnd(remaining - RESET_CHECK_INTERVAL) }
        context?.executor()?.schedule(check, RESET_CHECK_INTERVAL.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    /**
     * A server that ended before it had read the request resets the connection after the end of its output, for
     * [remaining] time from now at most.
     */
    private fun checkEnd(remaining: Duration) {
        val channel = context?.channel() as? ClientSocketChannel ?: return
        if (!channel.isOpen) return
        val isProper = isEndProper(channel)
        if (isProper && remaining.isPositive()) return awaitReset(remaining)
        parts.trySend(if (isProper) ResponsePart.End else ResponsePart.Broken(RESET))
        channel.close()
    }

    /** Encrypted data that ends without a mark was cut off. */
    private fun isEndProper(channel: ClientSocketChannel): Boolean {
        val isEncrypted = channel.pipeline().get(SslHandler::class.java) != null
        return !isEncrypted && !channel.hasFailed()
    }

    private fun data(bytes: ByteArray) {
        bufferedBytes += bytes.size
        parts.trySend(ResponsePart.Data(bytes))
        updateReading()
    }

    private fun failConnection(context: ChannelHandlerContext, reason: String) {
        isUnusable = true
        parts.trySend(ResponsePart.Broken(reason))
        context.close()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        isUnusable = true
        parts.trySend(ResponsePart.Broken(if (hasFailed) RESET else "The server closed the connection."))
    }

    /** The server has ended its output; the connection is of no more use, except to write the rest of the request. */
    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        when (event) {
            SslCloseCompletionEvent.SUCCESS -> endMarked()
            is ChannelInputShutdownEvent -> {
                isUnusable = true
                if (!isEndUnconfirmed) context.close()
            }
        }
        context.fireUserEventTriggered(event)
    }

    private fun endMarked() {
        isUnusable = true
        isEndMarked = true
        if (framing == Framing.UNTIL_CLOSE) end()
    }

    @Deprecated("Deprecated in Netty's base interface.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        hasFailed = true
        failConnection(context, "The connection failed: ${cause.message}.")
    }

    private companion object {
        val BODYLESS_STATUSES = setOf(204, 304)

        /** Also the least time for which a reset is awaited; that of a server nearby comes sooner. */
        val RESET_CHECK_INTERVAL = 5.milliseconds
        const val RESET = "The server reset the connection."

        /** Per connection; a response is read in parts of a few kilobytes. */
        const val MAX_BUFFERED_BYTES = 64 * 1024

        /** Interim responses and late ones of earlier requests, with the response itself. */
        const val MAX_HEADS = 16
    }
}
