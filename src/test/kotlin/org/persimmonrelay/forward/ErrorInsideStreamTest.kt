package org.persimmonrelay.forward

import org.persimmonrelay.forward.ForwardFixture.Companion.RESET
import org.persimmonrelay.forward.ForwardFixture.Companion.request
import org.persimmonrelay.route.RouteKind
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

/** A stream has begun and breaks off, and the next server responds with an error. */
class ErrorInsideStreamTest {
    private val resumable = RouteKind.Streaming(resumable = true, pauseTarget = 100.milliseconds)

    // Guards against an error's text inside a caller's stream, and against a stream that ends as if it were complete.
    @Test
    fun `no error of the next server reaches a stream that has begun`() {
        val errors = listOf<(RecordedRequest) -> String>(
            { responseTo(it, "500 Internal Server Error", "$ERROR\n\n") },
            { responseTo(it, "503 Service Unavailable", "$ERROR\n\n", "Not-Executed: 1") },
            { responseTo(it, "200 OK", "{\"error\":\"$ERROR\"}\n\n", "Content-Type: application/json") },
            { responseTo(it, "200 OK", "$ERROR\n\n", "Content-Type: text/event-stream") },
            { responseTo(it, "200 OK", "", "Content-Type: application/json") },
        )
        errors.forEachIndexed { i, error -> assertCutCleanly("error $i") { request -> error(request) } }
    }

    // Guards against the head of an error inside a caller's stream.
    @Test
    fun `the head of an error that a server writes into its stream does not reach the caller`() {
        val broken = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 9\r\n\r\n$ERROR\n\n"

        assertCutCleanly("unframed") {
            "HTTP/1.1 200 OK\r\nRequest-Id: ${it.id}\r\nServer-Stamp: proof\r\n" +
                "Content-Type: text/event-stream\r\n\r\n" + event(2) + broken
        }
        assertCutCleanly("chunked") { streamHead(it) + chunk(event(2) + broken) + LAST_CHUNK }
    }

    private fun assertCutCleanly(what: String, answer: (RecordedRequest) -> String) {
        val breaking = ScriptedServer { request, socket ->
            socket.writeText(streamHead(request) + chunk(event(1)))
            Thread.sleep(SETTLE_MILLIS)
            socket.reset()
        }
        val failing = ScriptedServer { request, socket ->
            if (request.header("Last-Event-Id") == null) {
                socket.writeText(streamHead(request) + chunk(event(1)))
                Thread.sleep(SETTLE_MILLIS)
                socket.reset()
            } else {
                socket.writeText(answer(request))
                socket.close()
            }
        }
        ForwardFixture(resumable, listOf(breaking, failing)).use { node ->
            val response = generateSequence(0) { it + 1 }.take(MAX_REQUESTS).map { node.exchange(request("r$it")) }
                .first { failing.requests.any { request -> request.header("Last-Event-Id") != null } }

            assertFalse(ERROR in response, "$what: $response")
            assertFalse("HTTP/1.1 500" in response, "$what: $response")
            assertTrue(response.endsWith(RESET) || !response.endsWith(LAST_CHUNK), "$what: $response")
        }
    }

    private companion object {
        const val ERROR = "went wrong"
        const val SETTLE_MILLIS = 60L
        const val MAX_REQUESTS = 8
    }
}
