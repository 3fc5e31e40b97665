package org.persimmonrelay.standin

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.ChannelPromise
import io.netty.handler.codec.http.HttpResponse

/**
 * Closes the connection instead of writing a response with the header [MARKER], so that no byte of it leaves. An error
 * thrown while Ktor writes a body would not do: it ends the body in order when nothing of it was written yet.
 */
internal class LostResponseHandler : ChannelOutboundHandlerAdapter() {
    override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
        val isLost = message is HttpResponse && message.headers().contains(MARKER)
        if (isLost) context.close() else super.write(context, message, promise)
    }

    companion object {
        const val MARKER = "X-Response-Lost"
    }
}
