package org.persimmonrelay.http

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

/** Netty's response decoder. [bodyless] is set when the response has no body because of the request's method. */
internal class ResponseDecoder :
    HttpResponseDecoder(
        HttpDecoderConfig().setMaxInitialLineLength(MAX_LINE_BYTES).setMaxHeaderSize(MAX_HEADER_BYTES),
    ) {
    var bodyless = false

    /** Number of bytes received after the last decoded response. */
    fun undecodedBytes(): Int = actualReadableBytes()

    override fun isContentAlwaysEmpty(msg: HttpMessage): Boolean = bodyless || super.isContentAlwaysEmpty(msg)

    private companion object {
        const val MAX_LINE_BYTES = 8 * 1024
        const val MAX_HEADER_BYTES = 64 * 1024
    }
}
