package org.persimmonrelay.http

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

/**
 * Netty's response decoder that also rejects the responses that Netty repairs: those whose status line breaks the
 * grammar of HTTP/1.1 (RFC 9112). [bodyless] is set when the
 * response has no body because of the request's method.
 */
internal class ResponseDecoder :
    HttpResponseDecoder(
        HttpDecoderConfig().setMaxInitialLineLength(MAX_LINE_BYTES).setMaxHeaderSize(MAX_HEADER_BYTES),
    ) {
    var bodyless = false

    /** Number of bytes received after the last decoded response. */
    fun undecodedBytes(): Int = actualReadableBytes()

    override fun splitSecondWordInitialLine(line: ByteArray, start: Int, length: Int): String {
        requireSpaceBefore(line, start, STATUS_START)
        return super.splitSecondWordInitialLine(line, start, length)
    }

    override fun splitThirdWordInitialLine(line: ByteArray, start: Int, length: Int): String {
        if (length > 0) requireSpaceBefore(line, REASON_START, REASON_START)
        return super.splitThirdWordInitialLine(line, start, length)
    }

    private fun requireSpaceBefore(line: ByteArray, start: Int, expectedStart: Int) =
        require(start == expectedStart && line[start - 1] == SPACE) {
            "The status line is not divided by single spaces."
        }

    override fun createMessage(initialLine: Array<String>): HttpMessage {
        val (version, status, reason) = initialLine
        require(version in VERSIONS) { "The version is not HTTP/1.0 or HTTP/1.1." }
        require(isStatus(status)) { "The status is not a number from 100 to 599." }
        require(reason.none(::isControl)) { "The reason has control characters." }
        return super.createMessage(initialLine)
    }

    private fun isStatus(text: String) =
        text.length == STATUS_DIGITS && text[0] in '1'..'5' && text.all { it in '0'..'9' }

    private fun isControl(char: Char) = char < ' ' && char != '\t' || char == DELETE

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean = bodyless || super.isContentAlwaysEmpty(message)

    private companion object {
        const val MAX_LINE_BYTES = 8 * 1024
        const val MAX_HEADER_BYTES = 64 * 1024
        const val SPACE = ' '.code.toByte()
        val VERSIONS = setOf("HTTP/1.0", "HTTP/1.1")
        const val STATUS_DIGITS = 3
        const val DELETE = '\u007f'
        const val STATUS_START = "HTTP/1.1 ".length
        const val REASON_START = "HTTP/1.1 200 ".length
    }
}
