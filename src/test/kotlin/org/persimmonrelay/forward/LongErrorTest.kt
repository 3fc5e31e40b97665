package org.persimmonrelay.forward

import org.persimmonrelay.forward.ForwardFixture.Companion.RESET
import org.persimmonrelay.forward.ForwardFixture.Companion.request
import org.persimmonrelay.route.RouteKind
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

/** Responses that are longer than what a node buffers: refusals of requests that have run, errors, and whole ones. */
class LongErrorTest {
    private val resumable = RouteKind.Streaming(resumable = true, pauseTarget = 100.milliseconds)
    private val sound = { request: RecordedRequest, socket: Socket ->
        socket.writeText(responseTo(request, "200 OK", "sound"))
    }

    // Guards against telling a caller "not run" of a request that has run, by an answer over the buffer (REFUSED).
    @Test
    fun `a long refusal without the word that it was not run is not passed on`() = forEachCase { framing, size ->
        REFUSALS.forEach { status ->
            val refusing = ScriptedServer { request, socket -> framing.respond(request, socket, status, size) }
            ForwardFixture(RouteKind.NonIdempotent, listOf(refusing)).use { node ->
                val response = node.exchange(request("r1"))

                assertTrue(response.startsWith("HTTP/1.1 502"), "$status $framing $size: ${response.take(80)}")
                assertEquals(1, refusing.requests.size)
            }
        }
    }

    // Guards against the same where the request may be repeated: it goes to another server.
    @Test
    fun `after a long refusal an idempotent request is served by another server`() = forEachCase { framing, size ->
        REFUSALS.forEach { status ->
            val refusing = ScriptedServer { request, socket -> framing.respond(request, socket, status, size) }
            ForwardFixture(RouteKind.Idempotent, listOf(refusing, ScriptedServer(sound))).use { node ->
                repeat(2) { assertTrue(node.exchange(request("r$it")).endsWith("sound"), "$status $framing $size") }
            }
        }
    }

    // Guards against an answer of two servers: a broken error, then another one's events and a proper end (MIXED).
    @Test
    fun `a long error that breaks off on a route of streams is not completed by another server`() {
        forEachCase { framing, size ->
            (ERRORS + REFUSALS).forEach { status ->
                val failing = ScriptedServer { request, socket -> framing.breakOff(request, socket, status, size) }
                val streaming = ScriptedServer { request, socket ->
                    socket.writeText(streamHead(request) + chunk(event(1)) + LAST_CHUNK)
                }
                ForwardFixture(resumable, listOf(failing, streaming)).use { node ->
                    repeat(2) { assertOfOneServer(node.exchange(request("r$it")), "$status $framing $size") }
                }
            }
        }
    }

    // Such responses have to come whole, however long they are.
    @Test
    fun `a long response of a sound server comes whole`() = forEachCase { framing, size ->
        (ERRORS + "200 OK").forEach { status ->
            val server = ScriptedServer { request, socket -> framing.respond(request, socket, status, size) }
            ForwardFixture(RouteKind.NonIdempotent, listOf(server)).use { node ->
                val response = node.exchange(request("r1"))

                assertTrue(response.startsWith("HTTP/1.1 ${status.take(3)}"), "$status $framing $size")
                assertEquals(size, response.count { it == FILLER }, "$status $framing $size")
                assertFalse(response.endsWith(RESET))
            }
        }
    }

    private fun assertOfOneServer(response: String, case: String) {
        if ("id: 1" in response) {
            assertTrue(response.startsWith("HTTP/1.1 200"), "$case: ${response.take(80)}")
            assertFalse(FILLER in response, case)
        } else {
            assertTrue(response.endsWith(RESET) || response.startsWith("HTTP/1.1 502"), "$case looks complete")
        }
    }

    private fun forEachCase(check: (Framing, Int) -> Unit) =
        Framing.entries.parallelStream().forEach { framing -> SIZES.forEach { check(framing, it) } }

    /** How the end of a body is marked. */
    enum class Framing(private val headers: String) {
        LENGTH(""),
        CHUNKED("Transfer-Encoding: chunked\r\n"),
        UNTIL_CLOSE(""),
        ;

        /** Writes a whole response with [status] and a body of [size] bytes. */
        fun respond(request: RecordedRequest, socket: Socket, status: String, size: Int) {
            val body = "$FILLER".repeat(size)
            socket.writeText(head(request, status, size) + if (this == CHUNKED) chunk(body) + LAST_CHUNK else body)
            if (this == UNTIL_CLOSE) socket.close()
        }

        /** Writes the same, but resets the connection before the last byte. */
        fun breakOff(request: RecordedRequest, socket: Socket, status: String, size: Int) {
            val body = "$FILLER".repeat(size - 1)
            socket.writeText(head(request, status, size) + if (this == CHUNKED) chunk(body) else body)
            // What was written arrives before the reset.
            Thread.sleep(BREAK_OFF_MILLIS)
            socket.reset()
        }

        private fun head(request: RecordedRequest, status: String, size: Int): String {
            val length = if (this == LENGTH) "Content-Length: $size\r\n" else ""
            return "HTTP/1.1 $status\r\nRequest-Id: ${request.id}\r\nServer-Stamp: proof\r\n$headers$length\r\n"
        }
    }

    private companion object {
        const val FILLER = '~'
        val REFUSALS = listOf("408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable")
        val ERRORS = listOf("404 Not Found", "500 Oops", "502 Bad Gateway", "504 Gateway Timeout")

        /** From the longest that is buffered on. */
        val SIZES = listOf(262_143, 262_144, 262_145, 300_000, 700_000)
        const val BREAK_OFF_MILLIS = 50L
    }
}
