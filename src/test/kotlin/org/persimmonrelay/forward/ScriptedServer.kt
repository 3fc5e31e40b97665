package org.persimmonrelay.forward

import java.io.BufferedInputStream
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.nio.charset.Charset
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** A request as a backend server received it. */
class RecordedRequest(val head: String, val body: ByteArray) {
    val line: String = head.lineSequence().first()

    fun header(name: String): String? =
        head.lineSequence().firstOrNull { it.startsWith("$name:", ignoreCase = true) }?.substringAfter(':')?.trim()

    val id: String get() = header("Request-Id").orEmpty()
}

/**
 * A backend server on loopback that runs [script] on the raw socket for each request. Unless it [readsBody], the script
 * starts after the request's head.
 */
class ScriptedServer(
    private val readsBody: Boolean,
    private val listening: ServerSocket = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1")),
    private val script: (RecordedRequest, Socket) -> Unit,
) : AutoCloseable {
    private val open = CopyOnWriteArrayList<Socket>()
    val port: Int = listening.localPort
    val requests = CopyOnWriteArrayList<RecordedRequest>()

    /** Number of connections that were accepted. */
    val connections: Int get() = open.size
    val isClosed: Boolean get() = listening.isClosed

    constructor(script: (RecordedRequest, Socket) -> Unit) : this(readsBody = true, script = script)

    private val accepting = thread(isDaemon = true) { accept() }

    private fun accept() {
        while (!listening.isClosed) {
            val socket = runCatching { listening.accept() }.getOrNull() ?: return
            open += socket
            thread(isDaemon = true) { runCatching { serve(socket) } }
        }
    }

    private fun serve(socket: Socket) {
        val input = if (readsBody) BufferedInputStream(socket.getInputStream()) else socket.getInputStream()
        while (true) {
            val request = read(input) ?: return
            requests += request
            script(request, socket)
        }
    }

    private fun read(input: InputStream): RecordedRequest? {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val byte = input.read()
            if (byte < 0) return null
            head.append(byte.toChar())
        }
        val length = Regex("(?i)content-length: *(\\d+)").find(head)?.groupValues?.get(1)?.toInt() ?: 0
        val body = input.readNBytes(if (readsBody) length else 0)
        return RecordedRequest(head.toString().trimEnd(), body)
    }

    /** Refuses new connections; open ones stay open. */
    fun stopListening() {
        listening.close()
        // The system accepts connections until the thread has noticed.
        accepting.join()
    }

    override fun close() {
        stopListening()
        open.forEach { it.close() }
    }
}

/** Writes [text] to the socket and flushes. */
fun Socket.writeText(text: String, charset: Charset = Charsets.UTF_8) {
    getOutputStream().write(text.toByteArray(charset))
    getOutputStream().flush()
}

/** Closes the connection with a TCP reset. */
fun Socket.reset() {
    setSoLinger(true, 0)
    close()
}

/** Complete response to [request]. */
fun responseTo(request: RecordedRequest, status: String, body: String, vararg more: String): String {
    val headers = listOf("Request-Id: ${request.id}", "Server-Stamp: proof", "Content-Length: ${body.length}") + more
    return "HTTP/1.1 $status\r\n" + headers.joinToString("") { "$it\r\n" } + "\r\n" + body
}

/** Head of a chunked event stream. */
fun streamHead(request: RecordedRequest): String =
    "HTTP/1.1 200 OK\r\nRequest-Id: ${request.id}\r\nServer-Stamp: proof\r\n" +
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

fun chunk(text: String): String = "${text.length.toString(16)}\r\n$text\r\n"

fun event(id: Int): String = "id: $id\ndata: piece-$id\n\n"

const val LAST_CHUNK: String = "0\r\n\r\n"
