package org.persimmonrelay.http

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

/** Netty's decoder of answers, told whether an answer has no body because of its request's method. */
internal class AnswerDecoder :
    HttpResponseDecoder(
        HttpDecoderConfig().setMaxInitialLineLength(MAX_LINE_BYTES).setMaxHeaderSize(MAX_HEADER_BYTES),
    ) {
    var bodyless = false

    /** Bytes that have arrived behind the last decoded answer. */
    fun leftover(): Int = actualReadableBytes()

    override fun isContentAlwaysEmpty(msg: HttpMessage): Boolean = bodyless || super.isContentAlwaysEmpty(msg)

    private companion object {
        const val MAX_LINE_BYTES = 8 * 1024
        const val MAX_HEADER_BYTES = 64 * 1024
    }
}
