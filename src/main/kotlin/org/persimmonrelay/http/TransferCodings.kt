package org.persimmonrelay.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMessage

/**
 * Checks the transfer codings of messages: chunked is the only one that is supported, since it is the only one whose
 * bodies can be read.
 */
internal object TransferCodings {
    /** Throws [IllegalArgumentException] if [message] has a transfer coding other than chunked. */
    fun requireSupported(message: HttpMessage) {
        val codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        val isSupported = codings.isEmpty() || codings.size == 1 && isChunked(codings[0])
        require(isSupported) { "The message has an unsupported transfer coding." }
    }

    private fun isChunked(coding: String) = coding.trim().equals(HttpHeaderValues.CHUNKED.toString(), ignoreCase = true)
}
