package org.persimmonrelay.http

import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.utils.io.readLine
import kotlinx.coroutines.runBlocking
import org.persimmonrelay.clock.SystemClock
import org.persimmonrelay.forward.LAST_CHUNK
import org.persimmonrelay.forward.ScriptedServer
import org.persimmonrelay.forward.chunk
import org.persimmonrelay.forward.responseTo
import org.persimmonrelay.forward.writeText
import java.io.IOException
import java.net.ConnectException
import java.net.ServerSocket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

class StrictHttpEngineTest {
    @Test
    fun `a request is sent as Ktor describes it and its connection is used again`() {
        val server = ScriptedServer { request, socket -> socket.writeText(responseTo(request, "200 OK", "body")) }
        withClient { http ->
            repeat(2) {
                val response = http.post("http://127.0.0.1:${server.port}/a/b?c=d%20e") {
                    headers.append("X-One", "1")
                    setBody("hello")
                }
                assertEquals("body", response.bodyAsText())
            }
        }
        val request = server.requests.last()
        assertEquals("POST /a/b?c=d%20e HTTP/1.1", request.line)
        assertEquals(listOf("1", "127.0.0.1:${server.port}"), listOf(request.header("X-One"), request.header("Host")))
        assertEquals("hello", request.body.decodeToString())
        assertEquals(1, server.connections)
        server.close()
    }

    @Test
    fun `a stream is read as it arrives, and closed when its reader leaves`() {
        val closed = CountDownLatch(1)
        val server = ScriptedServer { _, socket ->
            socket.writeText("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("one\n"))
            runCatching { socket.getInputStream().read() }
            closed.countDown()
        }
        withClient { http ->
            http.preparePost("http://127.0.0.1:${server.port}/").execute {
                assertEquals("one", it.bodyAsChannel().readLine())
            }
            assertTrue(closed.await(5, TimeUnit.SECONDS))
        }
        server.close()
    }

    @Test
    fun `a body longer than all buffers is read whole`() {
        val part = "x".repeat(100_000)
        val server = ScriptedServer { _, socket ->
            socket.writeText(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(part).repeat(50) + LAST_CHUNK,
            )
        }
        withClient { http ->
            assertEquals(50 * part.length, http.get("http://127.0.0.1:${server.port}/").bodyAsText().length)
        }
        server.close()
    }

    @Test
    fun `a refused connection and an unknown host are told from a lost response`() {
        val port = ServerSocket(0).use { it.localPort }
        val silent = ScriptedServer { _, socket -> socket.close() }
        withClient { http ->
            assertFailsWith<ConnectException> { http.get("http://127.0.0.1:$port/") }
            assertFailsWith<ConnectException> { http.get("http://unknown.invalid:$port/") }
            val lost = assertFailsWith<IOException> { http.get("http://127.0.0.1:${silent.port}/") }
            assertTrue(lost !is ConnectException)
        }
        silent.close()
    }

    private fun withClient(block: suspend (HttpClient) -> Unit) =
        StrictHttpEngine(SystemClock, "test-client").use { engine ->
            HttpClient(engine).use { runBlocking { block(it) } }
        }
}
