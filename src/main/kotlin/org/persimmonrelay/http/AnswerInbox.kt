package org.persimmonrelay.http

import io.netty.buffer.ByteBufUtil
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.channels.Channel

/**
 * Turns what arrives on a connection into [ResponsePart]s, and closes the connection when bytes arrive that nobody
 * asked for. Confined to the connection's thread.
 */
internal class AnswerInbox : ChannelInboundHandlerAdapter() {
    val decoder = AnswerDecoder()
    val parts = Channel<ResponsePart>(Channel.UNLIMITED)

    /** True between a request and the end of its answer. */
    var expecting = false

    /** True when the connection must not carry another request. */
    var spoiled = false
        private set

    private var interim = false
    private var reset = false
    private var framing = Framing.DELIMITED

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (message is HttpObject) accept(context, message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun accept(context: ChannelHandlerContext, message: HttpObject) {
        when {
            message.decoderResult().isFailure -> spoil(context, "The server sent bytes that are no answer.")
            !expecting -> spoil(context, "The server sent bytes that nobody asked for.")
            message is HttpResponse -> head(message)
            message is HttpContent -> content(message)
        }
    }

    private fun head(response: HttpResponse) {
        interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
        if (interim) return
        val delimited = HttpUtil.isContentLengthSet(response) ||
            HttpUtil.isTransferEncodingChunked(response) ||
            decoder.bodyless ||
            response.status().code() in BODYLESS_STATUSES
        framing = if (delimited) Framing.DELIMITED else Framing.UNTIL_CLOSE
        if (!HttpUtil.isKeepAlive(response) || !delimited) spoiled = true
        parts.trySend(ResponsePart.Head(response.status().code(), response.headers(), framing))
    }

    private fun content(content: HttpContent) {
        if (interim) return
        if (content.content().isReadable) parts.trySend(ResponsePart.Data(ByteBufUtil.getBytes(content.content())))
        if (content !is LastHttpContent) return
        val torn = framing == Framing.UNTIL_CLOSE && reset
        parts.trySend(if (torn) ResponsePart.Broken("The server reset the connection.") else ResponsePart.End)
    }

    private fun spoil(context: ChannelHandlerContext, reason: String) {
        spoiled = true
        parts.trySend(ResponsePart.Broken(reason))
        context.close()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        spoiled = true
        parts.trySend(ResponsePart.Broken(if (reset) "The server reset the connection." else "The server closed it."))
    }

    @Deprecated("Netty's name for it")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        reset = true
        spoil(context, "The connection failed: ${cause.message}.")
    }

    private companion object {
        val BODYLESS_STATUSES = setOf(204, 304)
    }
}
