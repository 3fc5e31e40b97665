package org.persimmonrelay.http

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/**
 * Netty's request decoder that also rejects ambiguous requests, which enable request smuggling: Content-Length together
 * with chunked encoding, and transfer codings other than chunked.
 */
internal class StrictRequestDecoder(headerBytes: Int) :
    HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(headerBytes)
            .setMaxHeaderSize(headerBytes)
            .setAllowDuplicateContentLengths(false),
    ) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("The request has both Content-Length and chunked encoding.")

    override fun isContentAlwaysEmpty(msg: HttpMessage): Boolean {
        val codings = msg.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        val isSupported = codings.isEmpty() ||
            codings.size == 1 &&
            codings[0].trim().equals(HttpHeaderValues.CHUNKED.toString(), ignoreCase = true)
        require(isSupported) { "The request has an unsupported transfer coding." }
        return super.isContentAlwaysEmpty(msg)
    }
}
