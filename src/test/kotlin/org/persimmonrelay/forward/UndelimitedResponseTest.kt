package org.persimmonrelay.forward

import org.persimmonrelay.forward.ForwardFixture.Companion.RESET
import org.persimmonrelay.forward.ForwardFixture.Companion.request
import org.persimmonrelay.route.RouteKind
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

/** Responses of servers that send neither a length nor chunks and end with the connection. */
class UndelimitedResponseTest {
    private val streaming = RouteKind.Streaming(resumable = false, pauseTarget = 100.milliseconds)
    private val events = (1..20).joinToString("") { event(it) }
    private val forms = listOf(
        Form(streaming, "200 OK", "Content-Type: text/event-stream\r\n", events),
        Form(streaming, "500 Oops", "", OVER_BUFFER),
        Form(RouteKind.Idempotent, "200 OK", "", OVER_BUFFER),
        Form(RouteKind.Idempotent, "200 OK", "", "short"),
        Form(RouteKind.NonIdempotent, "200 OK", "", OVER_BUFFER),
        Form(RouteKind.NonIdempotent, "404 Not Found", "", OVER_BUFFER),
    )

    // Guards against a cut response that looks complete, as the end of the connection is its only end mark (MIXED).
    @Test
    fun `an HTTP 1_1 caller can tell the end of the response from the end of the connection`() = forms.forEach { form ->
        val response = form.responseTo { it }

        val (head, body) = response.split("\r\n\r\n", limit = 2)
        assertTrue(head.startsWith("HTTP/1.1 ${form.status.take(3)}"), "$form: $head")
        if ("content-length: ${form.body.length}" in head.lowercase()) {
            assertEquals(form.body, body, "$form")
        } else {
            assertTrue("transfer-encoding: chunked" in head.lowercase(), "$form: $head")
            assertEquals(form.body, unchunked(body), "$form")
        }
    }

    @Test
    fun `an HTTP 1_0 caller gets the whole response without chunks`() = forms.forEach { form ->
        val response = form.responseTo { it.replaceFirst("HTTP/1.1", "HTTP/1.0") }

        val (head, body) = response.split("\r\n\r\n", limit = 2)
        assertFalse("transfer-encoding" in head.lowercase(), "$form: $head")
        assertEquals(form.body, body, "$form")
    }

    // Guards against chunks for a caller that can't read them, also when the server sent a length or chunks itself.
    @Test
    fun `an HTTP 1_0 caller gets no chunks of a stream that the server sent in chunks`() {
        val server = ScriptedServer { request, socket ->
            socket.writeText(streamHead(request) + chunk(event(1)) + chunk(event(2)) + LAST_CHUNK)
        }
        ForwardFixture(streaming, listOf(server)).use { node ->
            val response = node.exchange(request("r1").replaceFirst("HTTP/1.1", "HTTP/1.0"))

            assertFalse("transfer-encoding" in response.lowercase(), response)
            assertTrue(response.endsWith("\r\n\r\n" + event(1) + event(2)), response)
        }
    }

    // Guards against a part that an HTTP/1.0 caller takes for the whole, as the node closed the connection within it.
    @Test
    fun `a malformed second request does not end the first response as a whole one`() {
        val server = ScriptedServer { request, socket ->
            socket.writeText(head(request.id, "200 OK", "Content-Type: text/event-stream\r\n") + event(1))
            Thread.sleep(STREAM_MILLIS)
            socket.close()
        }
        ForwardFixture(streaming, listOf(server), attempts = 1).use { node ->
            val first = request("r1").replaceFirst("HTTP/1.1", "HTTP/1.0")
            val response = node.connect().use { socket ->
                socket.writeText(first)
                val input = socket.getInputStream()
                val start = input.readNBytes(1)
                socket.writeText("no request\r\n\r\n")
                runCatching { String(start + input.readAllBytes()) }.getOrElse { RESET }
            }

            assertTrue(response.endsWith(RESET), response)
        }
    }

    private fun unchunked(body: String): String {
        val text = StringBuilder()
        var rest = body
        while (true) {
            val size = rest.substringBefore("\r\n").toInt(16)
            rest = rest.substringAfter("\r\n")
            text.append(rest.take(size))
            rest = rest.drop(size + 2)
            if (size == 0) return text.toString()
        }
    }

    private data class Form(val kind: RouteKind, val status: String, val fields: String, val body: String) {
        /** What the caller of a request receives that [change] was made to. */
        fun responseTo(change: (String) -> String): String {
            val server = ScriptedServer { request, socket ->
                socket.writeText(head(request.id, status, fields) + body)
                socket.close()
            }
            return ForwardFixture(kind, listOf(server)).use { it.exchange(change(request("r1"))) }
        }

        override fun toString() = "$kind $status, ${body.length} bytes"
    }

    private companion object {
        val OVER_BUFFER = "~".repeat(600_000)
        const val STREAM_MILLIS = 2_000L

        fun head(id: String, status: String, fields: String) =
            "HTTP/1.1 $status\r\nRequest-Id: $id\r\nServer-Stamp: proof\r\n$fields\r\n"
    }
}
