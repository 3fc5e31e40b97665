package org.persimmonrelay.entry

import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpMethod
import kotlinx.coroutines.CoroutineScope
import org.persimmonrelay.catalog.PlainService
import org.persimmonrelay.catalog.Workspace
import org.persimmonrelay.standin.StandInPlainServer
import org.persimmonrelay.standin.StandInPlainService
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ServiceHandlerTest {
    private val booking = StandInPlainService("booking-1")

    @Test
    fun `method, target, body and custom headers are forwarded and credentials are not`() = withService { f ->
        val response =
            f.call(HttpMethod.Put, "/s/booking/tents/a%2Fb?size=3%20m&x=%2B") {
                header("X-Crew", "north")
                header("X-Api-Key", "other-secret")
                header("Cookie", "session=1")
                header("X-Workspace", "forged")
                header("X-Echo", "contains ${EntryFixture.KEY}")
                setBody("three tents")
            }

        val seen = booking.executions.single()
        assertEquals("PUT", seen.method)
        assertEquals("/tents/a%2Fb?size=3%20m&x=%2B", seen.target)
        assertEquals("three tents", seen.body)
        assertTrue("X-Crew: north" in seen.headers)
        assertTrue("X-Workspace: w1" in seen.headers)
        val text = seen.headers.joinToString("\n").lowercase()
        listOf(EntryFixture.KEY, "authorization", "cookie", "other-secret", "forged").forEach {
            assertTrue(it !in text, "$it went out: $text")
        }
        assertEquals("booking-1", response.headers["X-Served-By"])
    }

    @Test
    fun `calls with one idempotency key run once and return the same response`() = withService { f ->
        val responses =
            List(3) {
                f.call(HttpMethod.Post, "/s/booking/deposits") {
                    header("Idempotency-Key", "d-17")
                    setBody("40")
                }
            }

        assertEquals(1, booking.executions.size)
        assertEquals(1, responses.map { it.bodyAsText() }.distinct().size)
        assertEquals(listOf(null, "true", "true"), responses.map { it.headers["Idempotent-Replayed"] })
    }

    @Test
    fun `a lost answer to a call that may not be repeated is unknown and never sent again`() = withService { f ->
        booking.faults.loseNextResponses = 1

        val response = f.call(HttpMethod.Post, "/s/booking/deposits") { setBody("40") }

        assertEquals(502, response.status.value)
        assertEquals("unknown", response.headers["X-Outcome"])
        assertEquals(1, booking.executions.size)
    }

    @Test
    fun `a GET is retried on another server when the first is unreachable, a POST is not`() = withService { f ->
        val dead = EntryFixture.server("dead", "127.0.0.1:1")
        f.catalog.change { it.copy(serviceServers = listOf(dead) + it.serviceServers) }

        val reads = List(4) { f.call(HttpMethod.Get, "/s/booking/tents").status.value }
        val writes = List(2) { f.call(HttpMethod.Post, "/s/booking/tents") { setBody("1") } }

        assertEquals(listOf(200, 200, 200, 200), reads)
        val refused = writes.single { it.status.value == 503 }
        assertEquals("not-run", refused.headers["X-Outcome"])
        assertEquals(1, booking.executions.count { it.method == "POST" })
    }

    @Test
    fun `a service that does not respond gives an unknown outcome`() = withService(timeoutSeconds = 0.2) { f ->
        booking.neverResponds = true

        val response = f.call(HttpMethod.Post, "/s/booking/deposits") { setBody("40") }

        assertEquals(502, response.status.value)
        eventually { f.entry.openRequests == 0 }
    }

    @Test
    fun `open services need no key, others do, and services of other workspaces are not found`() = withService { f ->
        val open = PlainService(name = "status", servers = "", open = true)
        f.catalog.change { it.copy(services = it.services + open, closedTo = setOf("w2")) }

        assertEquals(200, f.call(HttpMethod.Get, "/s/status/now", key = null).status.value)
        assertEquals(401, f.call(HttpMethod.Get, "/s/booking/tents", key = null).status.value)
        assertEquals(404, f.call(HttpMethod.Get, "/s/booking/tents", key = EntryFixture.OTHER_KEY).status.value)
        assertEquals(404, f.call(HttpMethod.Get, "/s/nothing/tents").status.value)
        assertEquals(400, f.call(HttpMethod.Get, "/s/booking/../tents").status.value)
        assertEquals(1, booking.executions.size)
    }

    private suspend fun EntryFixture.call(
        method: HttpMethod,
        path: String,
        key: String? = EntryFixture.KEY,
        fill: HttpRequestBuilder.() -> Unit = {},
    ): HttpResponse = http.request("$url$path") {
        this.method = method
        key?.let { header("Authorization", "Bearer $it") }
        fill()
    }

    private fun withService(timeoutSeconds: Double = 30.0, test: suspend CoroutineScope.(EntryFixture) -> Unit) =
        EntryFixture().run { f ->
            val server = StandInPlainServer(booking)
            server.use {
                it.start()
                val service = PlainService(name = "booking", servers = "", timeoutSeconds = timeoutSeconds)
                f.catalog.issue(EntryFixture.OTHER_KEY, Workspace("w2"))
                val host = EntryFixture.server("booking-1", it.address)
                f.catalog.change { view -> view.copy(services = listOf(service), serviceServers = listOf(host)) }
                test(f)
            }
        }
}
