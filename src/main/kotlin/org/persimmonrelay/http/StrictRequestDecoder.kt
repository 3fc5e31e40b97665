package org.persimmonrelay.http

import io.netty.handler.codec.http.HttpDecoderConfig
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
        TransferCodings.requireSupported(msg)
        return super.isContentAlwaysEmpty(msg)
    }
}
