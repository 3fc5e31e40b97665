package org.persimmonrelay.forward

import org.persimmonrelay.forward.ForwardFixture.Companion.request
import org.persimmonrelay.route.RouteKind
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds

/** Responses that break the grammar of HTTP/1.1 count as no response; unusual ones that keep it are passed on. */
class InvalidResponseTest {
    private val streaming = RouteKind.Streaming(resumable = false, pauseTarget = 100.milliseconds)

    // Guards against a status 000 that reaches the client as an answer (MIXED).
    @Test
    fun `a response with an invalid status line is never passed on`() {
        val statusLines = InvalidResponses.statusLines

        assertEquals(emptyList(), passedOn(RouteKind.NonIdempotent, statusLines) { id, line -> plain(id, line) })
        assertEquals(emptyList(), passedOn(streaming, statusLines) { id, line -> stream(id, line) })
    }

    // Guards against a field whose name was cut, passed on or taken for one of the server's (MIXED).
    @Test
    fun `a response with an invalid field is never passed on`() {
        val fields = InvalidResponses.fieldLines

        assertEquals(emptyList(), passedOn(RouteKind.NonIdempotent, fields) { id, line -> plain(id, OK, line) })
        assertEquals(emptyList(), passedOn(RouteKind.NonIdempotent, fields) { id, line -> plain(id, OK, "A: 1", line) })
        assertEquals(emptyList(), passedOn(RouteKind.NonIdempotent, fields) { id, line -> withFieldFirst(id, line) })
        assertEquals(emptyList(), passedOn(streaming, fields) { id, line -> stream(id, OK, line) })
    }

    @Test
    fun `a response with an invalid trailer is never passed on`() {
        val fields = InvalidResponses.fieldLines

        assertEquals(emptyList(), passedOn(RouteKind.NonIdempotent, fields) { id, line -> chunked(id, line) })
        assertEquals(emptyList(), passedOn(RouteKind.NonIdempotent, fields) { id, line -> chunked(id, "A: 1", line) })
    }

    @Test
    fun `an invalid head or trailer that arrives byte by byte is never passed on`() {
        val heads =
            listOf(plain("r00", "HTTP/1.1 000 OK"), withFieldFirst("r00", " X: 1"), plain("r00", OK, "A: 1", " B"))
        val trailers = listOf(chunked("r00", "X Bad: 1"), chunked("r00", "A: 1", " X: 1"))
        val all = heads + trailers

        assertEquals(emptyList(), passedOn(RouteKind.NonIdempotent, all, isSlow = true) { _, text -> text })
    }

    @Test
    fun `a response with a transfer coding other than chunked is never passed on`() {
        val codings = InvalidResponses.transferCodings.map { "Transfer-Encoding: $it" }

        assertEquals(emptyList(), passedOn(RouteKind.NonIdempotent, codings) { id, line -> plain(id, OK, line) })
        assertEquals(emptyList(), passedOn(RouteKind.NonIdempotent, codings) { id, line -> withoutLength(id, line) })
        assertEquals(
            emptyList(),
            passedOn(RouteKind.NonIdempotent, codings) { id, line ->
                withoutLength(id, line, chunk("body") + LAST_CHUNK)
            },
        )
    }

    @Test
    fun `a request whose response is invalid is served by another server`() {
        val broken = ScriptedServer { request, socket -> socket.writeText(plain(request.id, "HTTP/1.1 000 OK")) }
        val sound = ScriptedServer { request, socket -> socket.writeText(responseTo(request, "200 OK", "sound")) }
        ForwardFixture(RouteKind.Idempotent, listOf(broken, sound)).use { node ->
            repeat(4) { assertEquals("sound", node.exchange(request("r$it")).takeLast("sound".length)) }
        }
    }

    @Test
    fun `an unusual but valid response is passed on whole`() {
        val statusLines = InvalidResponses.validStatusLines
        val fields = InvalidResponses.validFieldLines
        val kind = RouteKind.NonIdempotent

        assertEquals(statusLines, passedOn(kind, statusLines) { id, line -> plain(id, line) })
        assertEquals(fields, passedOn(kind, fields) { id, line -> plain(id, OK, line) })
        assertEquals(fields, passedOn(kind, fields) { id, line -> chunked(id, line) })
        assertEquals(fields, passedOn(kind, fields, isSlow = true) { id, line -> chunked(id, line) })
        val extensions = listOf("4;a=b", "4;a=\"b c\"", "4;a", "04")
        assertEquals(
            extensions,
            passedOn(kind, extensions) { id, size -> withoutLength(id, CHUNKED, "$size\r\nbody\r\n$LAST_CHUNK") },
        )
    }

    /** The cases whose response, built from the request's id by [response], reached the caller with its body. */
    private fun passedOn(
        kind: RouteKind,
        cases: List<String>,
        isSlow: Boolean = false,
        response: (String, String) -> String,
    ): List<String> {
        val server = ScriptedServer { request, socket ->
            val case = cases[request.id.drop(1).toInt()]
            val text = response(request.id, case).replace("Request-Id: r00\r\n", "Request-Id: ${request.id}\r\n")
            if (isSlow) socket.writeSlowly(text) else socket.writeText(text, Charsets.ISO_8859_1)
            socket.close()
        }
        return ForwardFixture(kind, listOf(server), attempts = 1).use { node ->
            cases.filterIndexed { i, _ -> isPassedOn(node.exchange(request("r%02d".format(i)))) }
        }
    }

    private fun isPassedOn(response: String) =
        !response.startsWith("HTTP/1.1 502") && ("body" in response || "piece" in response)

    private fun Socket.writeSlowly(text: String) {
        tcpNoDelay = true
        text.forEach {
            writeText(it.toString(), Charsets.ISO_8859_1)
            Thread.sleep(1)
        }
    }

    private fun plain(id: String, statusLine: String, vararg fields: String) =
        head(statusLine, "Request-Id: $id", "Server-Stamp: proof", *fields, "Content-Length: 4") + "body"

    private fun withFieldFirst(id: String, field: String) =
        head(OK, field, "Request-Id: $id", "Server-Stamp: proof", "Content-Length: 4") + "body"

    private fun withoutLength(id: String, field: String, body: String = "body") =
        head(OK, "Request-Id: $id", "Server-Stamp: proof", field) + body

    private fun chunked(id: String, vararg trailers: String) =
        withoutLength(id, CHUNKED, chunk("body") + "0\r\n" + trailers.joinToString("") { "$it\r\n" } + "\r\n")

    private fun stream(id: String, statusLine: String, vararg fields: String): String {
        val head = head(
            statusLine,
            "Request-Id: $id",
            "Server-Stamp: proof",
            "Content-Type: text/event-stream",
            CHUNKED,
            *fields,
        )
        return head + chunk(event(1)) + LAST_CHUNK
    }

    private fun head(vararg lines: String) = lines.joinToString("") { "$it\r\n" } + "Connection: close\r\n\r\n"

    private companion object {
        const val OK = "HTTP/1.1 200 OK"
        const val CHUNKED = "Transfer-Encoding: chunked"
    }
}
