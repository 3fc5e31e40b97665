package org.persimmonrelay.http

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/**
 * Netty's decoder of requests, made to refuse what two readers could understand differently: a length beside
 * chunks, and transfer codings other than chunks.
 */
internal class StrictRequestDecoder(headerBytes: Int) :
    HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(headerBytes)
            .setMaxHeaderSize(headerBytes)
            .setAllowDuplicateContentLengths(false),
    ) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("A request has both a length and chunks.")

    override fun isContentAlwaysEmpty(msg: HttpMessage): Boolean {
        val codings = msg.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        val understood = codings.isEmpty() ||
            codings.size == 1 &&
            codings[0].trim().equals(HttpHeaderValues.CHUNKED.toString(), ignoreCase = true)
        require(understood) { "A request has a transfer coding that is not understood." }
        return super.isContentAlwaysEmpty(msg)
    }
}
