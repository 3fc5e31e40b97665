package org.persimmonrelay.forward

import org.persimmonrelay.forward.ForwardFixture.Companion.RESET
import org.persimmonrelay.forward.ForwardFixture.Companion.request
import org.persimmonrelay.route.RouteKind
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds

/** A server writes part of its response, at each possible length, and closes or resets the connection. */
class TruncatedResponseTest {
    private val streaming = RouteKind.Streaming(resumable = false, pauseTarget = 100.milliseconds)

    // Guards against a 200 with an empty or short body, framed as whole (MIXED).
    @Test
    fun `a response that was cut off is never passed on as a whole one`() {
        val forms = listOf(
            Form("length", RouteKind.NonIdempotent, "Content-Length: 4\r\n\r\n", "body"),
            Form("chunks", RouteKind.NonIdempotent, CHUNKED, chunk("body") + LAST_CHUNK),
            Form("trailers", RouteKind.NonIdempotent, CHUNKED, chunk("body") + "0\r\nX-Sum: 1\r\n\r\n"),
            Form("connection", RouteKind.NonIdempotent, "Connection: close\r\n\r\n", "body", endsWithHead = true),
            Form("nothing said", RouteKind.NonIdempotent, "\r\n", "body", endsWithHead = true),
            Form("stream in chunks", streaming, "$EVENTS$CHUNKED", chunk(event(1)) + chunk(event(2)) + LAST_CHUNK),
            Form("stream of a connection", streaming, "$EVENTS\r\n", event(1) + event(2), endsWithHead = true),
        )

        forms.parallelStream().forEach { form ->
            assertEquals(emptyList(), form.cutsTakenForWhole(isReset = false), "${form.name}, closed")
            assertEquals(emptyList(), form.cutsTakenForWhole(isReset = true), "${form.name}, reset")
        }
    }

    /**
     * A response with [fields] and [body]. If it [endsWithHead], nothing after the head tells a part from the whole but
     * a reset.
     */
    private class Form(
        val name: String,
        private val kind: RouteKind,
        private val fields: String,
        private val body: String,
        private val endsWithHead: Boolean = false,
    ) {
        /** The lengths at which the response is cut and a caller takes it for a whole one. */
        fun cutsTakenForWhole(isReset: Boolean): List<Int> {
            val server = ScriptedServer { request, socket ->
                val cut = request.header("X-Cut")!!.toInt()
                if (cut > 0) socket.writeText(text(request.id).take(cut))
                if (isReset) socket.reset() else socket.close()
            }
            val head = text(id(0)).length - body.length
            val cuts = 0 until if (endsWithHead) head else head + body.length
            return ForwardFixture(kind, listOf(server), attempts = 1).use { node ->
                cuts.filter { isTakenForWhole(node.exchange(request(id(it), more = arrayOf("X-Cut: $it")))) }
            }
        }

        private fun id(cut: Int) = "r%03d".format(cut)

        private fun text(id: String) = "HTTP/1.1 200 OK\r\nRequest-Id: $id\r\nServer-Stamp: proof\r\n$fields$body"

        private fun isTakenForWhole(response: String): Boolean {
            val isChunked = "transfer-encoding: chunked" in response.lowercase()
            val isCut = response.endsWith(RESET) || isChunked && !response.endsWith(LAST_CHUNK)
            return response.startsWith("HTTP/1.1 200") && !isCut
        }
    }

    private companion object {
        const val CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
        const val EVENTS = "Content-Type: text/event-stream\r\n"
    }
}
