package org.persimmonrelay.forward

import org.persimmonrelay.forward.ForwardFixture.Companion.request
import org.persimmonrelay.route.RouteKind
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.time.Duration.Companion.milliseconds

/** A faulty server writes an earlier refusal once more on a kept connection, before its response to the next one. */
class RepeatedRefusalTest {
    // Guards against telling a caller "not run" of a request that runs, and against running it at a second server.
    @Test
    fun `a refusal that names no request does not say that the request was not run`() {
        val first = faulty { "" }
        val second = faulty { "" }
        ForwardFixture(RouteKind.NonIdempotent, listOf(first, second)).use { node ->
            val responses = (0 until REQUESTS).map { node.exchange(request("r$it")) }

            responses.forEach { assertFalse(it.startsWith("HTTP/1.1 503"), it) }
            val runs = (first.requests + second.requests).groupingBy { it.id }.eachCount()
            assertEquals(emptyMap(), runs.filterValues { it > 1 })
        }
    }

    @Test
    fun `a refusal of an earlier request is skipped`() {
        val server = faulty { "Request-Id: earlier\r\n" }
        ForwardFixture(RouteKind.NonIdempotent, listOf(server)).use { node ->
            repeat(REQUESTS) { assertEquals("r$it", node.exchange(request("r$it")).substringAfterLast("\r\n\r\n")) }
        }
    }

    // Guards against a stream that goes on elsewhere while the server that was said to have refused it runs it.
    @Test
    fun `a refusal that names no request does not make a stream run at a second server`() {
        val kind = RouteKind.Streaming(resumable = false, pauseTarget = 100.milliseconds)
        val first = faulty { "" }
        val second = faulty { "" }
        ForwardFixture(kind, listOf(first, second), attempts = 1).use { node ->
            repeat(REQUESTS) { node.exchange(request("r$it")) }

            val runs = (first.requests + second.requests).groupingBy { it.id }.eachCount()
            assertEquals(emptyMap(), runs.filterValues { it > 1 })
        }
    }

    /** Writes a refusal with [idHeader] before each response. */
    private fun faulty(idHeader: () -> String) = ScriptedServer { request, socket ->
        socket.writeText(
            "HTTP/1.1 503 Service Unavailable\r\n${idHeader()}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" +
                responseTo(request, "200 OK", request.id),
        )
    }

    private companion object {
        const val REQUESTS = 4
    }
}
