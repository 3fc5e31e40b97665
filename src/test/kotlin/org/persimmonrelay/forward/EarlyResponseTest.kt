package org.persimmonrelay.forward

import org.persimmonrelay.forward.ForwardFixture.Companion.RESET
import org.persimmonrelay.forward.ForwardFixture.Companion.request
import org.persimmonrelay.route.RouteKind
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Servers that respond before they have read the request, whose body is large. */
class EarlyResponseTest {
    private val streaming = RouteKind.Streaming(resumable = false, pauseTarget = 100.milliseconds)
    private val kinds = listOf(RouteKind.Idempotent, RouteKind.NonIdempotent, streaming)

    // Guards against a 200 with part of the body, framed as whole (MIXED).
    @Test
    fun `a response without a length is broken when the server ends before it has read the request`() {
        val ends = kinds.flatMap { kind ->
            listOf(0, 100_000).flatMap { read ->
                listOf(0L, 5L, 100L).flatMap { wait -> listOf(true, false).map { End(kind, read, wait, it) } }
            }
        }

        assertEquals(emptyList(), ends.parallelStream().filter { it.takenForWhole() > 0 }.toList())
    }

    /** The server reads [readBytes], responds, waits and ends with unread bytes, or with a reset of its own. */
    private data class End(val kind: RouteKind, val readBytes: Int, val waitMillis: Long, val isReset: Boolean) {
        /** How many of some responses the caller takes for whole ones. */
        fun takenForWhole(): Int {
            val server = ScriptedServer(readsBody = false) { request, socket ->
                socket.getInputStream().readNBytes(readBytes)
                socket.writeText(withoutLength(request.id, kind))
                Thread.sleep(waitMillis)
                if (isReset) socket.reset() else socket.close()
            }
            return ForwardFixture(kind, listOf(server), attempts = 1, bodyLimit = BODY_BYTES).use { node ->
                (1..TRIES).count { isTakenForWhole(node.exchange(request("r$it", body = BODY))) }
            }
        }
    }

    @Test
    fun `a request whose early response broke off is served by another server`() {
        val broken = ScriptedServer(readsBody = false) { request, socket ->
            socket.writeText(withoutLength(request.id, RouteKind.Idempotent))
            socket.close()
        }
        val sound = ScriptedServer { request, socket -> socket.writeText(responseTo(request, "200 OK", "sound")) }
        ForwardFixture(RouteKind.Idempotent, listOf(broken, sound), bodyLimit = BODY_BYTES).use { node ->
            repeat(4) { assertTrue(node.exchange(request("r$it", body = BODY)).endsWith("sound")) }
        }
    }

    @Test
    fun `an early response is passed on whole when the server then reads the rest of the request`() {
        val kind = RouteKind.NonIdempotent
        val forms = listOf(413, 200).flatMap { status ->
            listOf("Content-Length: 4\r\n", "").flatMap { length ->
                listOf(true, false).map { Proper(status, length, endsOutputFirst = it) }
            }
        }

        forms.forEach { form ->
            val server = ScriptedServer(readsBody = false) { request, socket -> form.respond(request, socket) }
            ForwardFixture(kind, listOf(server), attempts = 1, bodyLimit = BODY_BYTES).use { node ->
                val response = node.exchange(request("r1", body = BODY))
                assertTrue(response.startsWith("HTTP/1.1 ${form.status}"), "$form: $response")
                assertTrue(response.endsWith("\r\n\r\nbody"), "$form: $response")
            }
        }
    }

    /** The server responds, ends its output first or not, reads the rest of the request slowly and closes. */
    private data class Proper(val status: Int, val length: String, val endsOutputFirst: Boolean) {
        fun respond(request: RecordedRequest, socket: Socket) {
            socket.writeText("HTTP/1.1 $status X\r\nRequest-Id: ${request.id}\r\nServer-Stamp: s\r\n$length\r\nbody")
            if (endsOutputFirst) socket.shutdownOutput()
            repeat(BODY.length / PART_BYTES) {
                socket.getInputStream().readNBytes(PART_BYTES)
                Thread.sleep(1)
            }
            socket.getInputStream().readNBytes(BODY.length % PART_BYTES)
            socket.close()
        }
    }

    @Test
    fun `a server that ends its output and never reads the request does not hold the request past its deadline`() {
        val silent = ScriptedServer(readsBody = false, smallBuffer()) { request, socket ->
            socket.writeText(withoutLength(request.id, RouteKind.NonIdempotent))
            socket.shutdownOutput()
            Thread.sleep(10_000)
        }
        val body = "x".repeat(OVER_ALL_BUFFERS_BYTES)
        ForwardFixture(
            RouteKind.NonIdempotent,
            listOf(silent),
            attempts = 1,
            bodyLimit = OVER_ALL_BUFFERS_BYTES,
            timeout = 1.seconds,
        ).use { node -> assertTrue(node.exchange(request("r1", body = body)).startsWith("HTTP/1.1 504")) }
    }

    /** A listening socket whose connections take little that the server does not read. */
    private fun smallBuffer() = ServerSocket().apply {
        receiveBufferSize = PART_BYTES
        bind(InetSocketAddress("127.0.0.1", 0))
    }

    private companion object {
        const val BODY_BYTES = 8 * 1024 * 1024
        const val PART_BYTES = 64 * 1024
        const val TRIES = 5

        /** More than the node's kernel takes of a connection whose server does not read. */
        const val OVER_ALL_BUFFERS_BYTES = 32 * 1024 * 1024
        val BODY = "x".repeat(4_000_000)

        fun withoutLength(id: String, kind: RouteKind): String {
            val start = "HTTP/1.1 200 OK\r\nRequest-Id: $id\r\nServer-Stamp: proof\r\n"
            if (kind !is RouteKind.Streaming) return "$start\r\nhalf of the body"
            return "${start}Content-Type: text/event-stream\r\n\r\n" + event(1)
        }

        fun isTakenForWhole(response: String) = response.startsWith("HTTP/1.1 200") && !response.endsWith(RESET)
    }
}
