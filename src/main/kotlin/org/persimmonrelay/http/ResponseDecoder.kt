package org.persimmonrelay.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.util.AsciiString

/**
 * Netty's response decoder that also rejects the responses that Netty repairs: those whose status line or fields break
 * the grammar of HTTP/1.1 (RFC 9112), and those with a transfer coding other than chunked. [bodyless] is set when the
 * response has no body because of the request's method.
 */
internal class ResponseDecoder :
    HttpResponseDecoder(
        HttpDecoderConfig().setMaxInitialLineLength(MAX_LINE_BYTES).setMaxHeaderSize(MAX_HEADER_BYTES),
    ) {
    var bodyless = false

    /** Number of bytes received after the last decoded response. */
    fun undecodedBytes(): Int = actualReadableBytes()

    override fun decode(context: ChannelHandlerContext, input: ByteBuf, out: MutableList<Any>) {
        val start = input.readerIndex()
        super.decode(context, input, out)
        // Netty decodes lines and bytes of the body in separate calls.
        if (out.any(::hasBytes)) return
        if (hasLineThatBeginsBlank(input, start, input.readerIndex())) rejectAll(out)
    }

    private fun hasBytes(message: Any) = message is HttpContent && message.content().isReadable

    /** True if a line begins with a blank between [start] and [end]; lines that continue a field are obsolete. */
    private fun hasLineThatBeginsBlank(input: ByteBuf, start: Int, end: Int): Boolean {
        var lineStart = start
        while (lineStart < end) {
            if (isBlank(input.getByte(lineStart))) return true
            val lineEnd = input.indexOf(lineStart, end, LINE_FEED)
            if (lineEnd < 0) return false
            lineStart = lineEnd + 1
        }
        return false
    }

    private fun isBlank(byte: Byte) = byte == SPACE || byte == TAB

    private fun rejectAll(out: MutableList<Any>) {
        out.clear()
        out += createInvalidMessage().apply {
            decoderResult = DecoderResult.failure(IllegalArgumentException("A line begins with a blank."))
        }
    }

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

    /** Called for the name of each field, also of trailers, with its whole line. */
    override fun splitHeaderName(line: ByteArray, start: Int, length: Int): AsciiString {
        require(start == 0 && line[length] == COLON) { "A field's name is not followed by a colon at once." }
        return super.splitHeaderName(line, start, length)
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean {
        TransferCodings.requireSupported(message)
        return bodyless || super.isContentAlwaysEmpty(message)
    }

    private companion object {
        const val MAX_LINE_BYTES = 8 * 1024
        const val MAX_HEADER_BYTES = 64 * 1024
        const val SPACE = ' '.code.toByte()
        const val COLON = ':'.code.toByte()
        const val LINE_FEED = '\n'.code.toByte()
        const val TAB = '\t'.code.toByte()
        val VERSIONS = setOf("HTTP/1.0", "HTTP/1.1")
        const val STATUS_DIGITS = 3
        const val DELETE = '\u007f'
        const val STATUS_START = "HTTP/1.1 ".length
        const val REASON_START = "HTTP/1.1 200 ".length
    }
}
