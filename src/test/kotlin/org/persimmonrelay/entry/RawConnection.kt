package org.persimmonrelay.entry

import java.net.Socket

/** A TCP connection on which a test writes raw HTTP. */
class RawConnection(port: Int) : AutoCloseable {
    private val socket = Socket("127.0.0.1", port).apply { soTimeout = 20_000 }
    private val input = socket.getInputStream().bufferedReader()

    fun send(text: String) {
        socket.getOutputStream().apply {
            write(text.encodeToByteArray())
            flush()
        }
    }

    fun post(path: String, key: String, body: String) {
        send("POST $path HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer $key\r\n")
        send("Content-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n$body")
    }

    /** Reads one response with a Content-Length; returns its status and body. */
    fun readResponse(): Pair<Int, String> {
        val status = input.readLine().split(' ')[1].toInt()
        val headers = generateSequence { input.readLine() }.takeWhile { it.isNotEmpty() }.toList()
        val length = headers.first {
            it.startsWith("content-length", ignoreCase = true)
        }.substringAfter(':').trim().toInt()
        val body = CharArray(length)
        var read = 0
        while (read < length) read += input.read(body, read, length - read)
        return status to String(body)
    }

    /** Reads lines until one contains [text]. */
    fun awaitLine(text: String): String = generateSequence { input.readLine() }.first { text in it }

    /** True when the peer has closed the connection. */
    fun isClosed(): Boolean = input.read() == -1

    override fun close() = socket.close()
}
