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
 * Converts data received on a connection to [ResponsePart]s, and closes the connection on invalid data and on data that
 * arrives while no response is expected. Confined to the connection's thread.
 */
internal class ResponseHandler : ChannelInboundHandlerAdapter() {
    val decoder = ResponseDecoder()
    val parts = Channel<ResponsePart>(Channel.UNLIMITED)

    /** True from the sending of a request to the end of its response. */
    var isResponseExpected = false

    /** True when the connection must not be used for another request. */
    var isUnusable = false
        private set

    private var isInterim = false
    private var wasReset = false
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
            message.decoderResult().isFailure -> failConnection(context, "The server sent an invalid HTTP response.")
            !isResponseExpected -> failConnection(context, "The server sent data without a request.")
            message is HttpResponse -> head(message)
            message is HttpContent -> content(message)
        }
    }

    private fun head(response: HttpResponse) {
        isInterim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
        if (isInterim) return
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
        if (content.content().isReadable) parts.trySend(ResponsePart.Data(ByteBufUtil.getBytes(content.content())))
        if (content !is LastHttpContent) return
        val incomplete = framing == Framing.UNTIL_CLOSE && wasReset
        parts.trySend(if (incomplete) ResponsePart.Broken("The server reset the connection.") else ResponsePart.End)
    }

    private fun failConnection(context: ChannelHandlerContext, reason: String) {
        isUnusable = true
        parts.trySend(ResponsePart.Broken(reason))
        context.close()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        isUnusable = true
        parts.trySend(
            ResponsePart.Broken(
                if (wasReset) "The server reset the connection." else "The server closed the connection.",
            ),
        )
    }

    @Deprecated("Deprecated in Netty's base interface.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        wasReset = true
        failConnection(context, "The connection failed: ${cause.message}.")
    }

    private companion object {
        val BODYLESS_STATUSES = setOf(204, 304)
    }
}
