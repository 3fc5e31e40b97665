package org.persimmonrelay.forward

import org.persimmonrelay.forward.ForwardFixture.Companion.RESET
import org.persimmonrelay.forward.ForwardFixture.Companion.request
import org.persimmonrelay.route.RouteKind
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

/**
 * Servers in another region that respond without a length before they have the whole request. What happens there shows
 * a one-way delay later at the node, and the node's bytes arrive as much later there.
 */
class DistantServerTest {
    private val streaming = RouteKind.Streaming(resumable = false, pauseTarget = 100.milliseconds)
    private val kinds = listOf(RouteKind.NonIdempotent, RouteKind.Idempotent, streaming)

    // Guards against part of a response framed as whole, since the reset comes a round trip after its end (MIXED).
    @Test
    fun `a response that broke off is not whole when the reset comes a round trip after its end`() {
        val cases = kinds.flatMap { kind ->
            listOf(8L, 25L, 40L).flatMap { delay ->
                listOf(0, BODY.length / 3, BODY.length - 4_000).flatMap { read ->
                    listOf(2_000, OVER_BUFFER).map { Case(kind, delay, read, it) }
                }
            }
        }

        assertEquals(emptyList(), cases.filter { it.takenForWhole() > 0 })
    }

    /** The server has [readBytes] of the request when it has written [bytes] of its response and breaks off. */
    private data class Case(val kind: RouteKind, val delayMillis: Long, val readBytes: Int, val bytes: Int) {
        /** How many of some responses the caller takes for whole ones. */
        fun takenForWhole(): Int {
            val server = ScriptedServer(readsBody = false) { request, socket ->
                socket.getInputStream().readNBytes(readBytes)
                Thread.sleep(2 * delayMillis)
                socket.writeText(part(request.id))
                socket.shutdownOutput()
                Thread.sleep(2 * delayMillis)
                socket.reset()
            }
            return ForwardFixture(kind, listOf(server), attempts = 1, bodyLimit = BODY.length).use { node ->
                (1..TRIES).count { isTakenForWhole(node.exchange(request("r$it", body = BODY))) }
            }
        }

        private fun part(id: String): String {
            if (kind !is RouteKind.Streaming) return head(id) + "x".repeat(bytes)
            return head(id, "Content-Type: text/event-stream\r\n") + "id: 1\ndata: ${"x".repeat(bytes / 2)}\n\n"
        }

        private fun isTakenForWhole(response: String): Boolean {
            val isChunked = "transfer-encoding: chunked" in response.lowercase()
            val isCut = response.endsWith(RESET) || isChunked && !response.endsWith(LAST_CHUNK)
            return response.startsWith("HTTP/1.1 200") && !isCut
        }
    }

    // Such servers are sound: their responses have to come whole.
    @Test
    fun `an early response is whole when the server reads the rest of the request`() = kinds.forEach { kind ->
        val server = ScriptedServer(readsBody = false) { request, socket -> respondAndRead(request, socket) }
        ForwardFixture(kind, listOf(server), attempts = 1, bodyLimit = BODY.length).use { node ->
            repeat(TRIES) {
                val response = node.exchange(request("r$it", body = BODY))

                assertTrue(response.startsWith("HTTP/1.1 200"), response)
                assertTrue(event(1) in response && event(2) in response, response)
                assertTrue(!response.endsWith(RESET), response)
            }
        }
    }

    private fun respondAndRead(request: RecordedRequest, socket: Socket) {
        socket.getInputStream().readNBytes(BODY.length / 3)
        Thread.sleep(DELAY_MILLIS * 2)
        socket.writeText(head(request.id, "Content-Type: text/event-stream\r\n") + event(1))
        socket.getInputStream().readNBytes(BODY.length - BODY.length / 3)
        Thread.sleep(DELAY_MILLIS)
        socket.writeText(event(2))
        socket.close()
    }

    private companion object {
        val BODY = "x".repeat(1_000_000)
        const val OVER_BUFFER = 300_000
        const val DELAY_MILLIS = 8L
        const val TRIES = 2

        fun head(id: String, fields: String = "") =
            "HTTP/1.1 200 OK\r\nRequest-Id: $id\r\nServer-Stamp: proof\r\n$fields\r\n"
    }
}
