package org.persimmonrelay.http

import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.network.tls.certificates.buildKeyStore
import io.ktor.utils.io.readLine
import io.netty.handler.ssl.SslContext
import io.netty.handler.ssl.SslContextBuilder
import kotlinx.coroutines.runBlocking
import org.persimmonrelay.clock.SystemClock
import org.persimmonrelay.forward.LAST_CHUNK
import org.persimmonrelay.forward.ScriptedServer
import org.persimmonrelay.forward.chunk
import org.persimmonrelay.forward.reset
import org.persimmonrelay.forward.responseTo
import org.persimmonrelay.forward.writeText
import java.io.IOException
import java.net.ConnectException
import java.net.InetAddress
import java.net.ServerSocket
import java.security.KeyStore
import java.security.cert.X509Certificate
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import javax.net.ssl.KeyManagerFactory
import javax.net.ssl.SSLContext
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

    @Test
    fun `an encrypted response is read, if the certificate is trusted and has the server's name`() {
        val keys = keys()
        val server = ScriptedServer(readsBody = true, tlsSocket(keys)) { request, socket ->
            socket.writeText(responseTo(request, "200 OK", "body"))
        }
        withClient({ trusting(keys) }) { http ->
            assertEquals("body", http.get("https://localhost:${server.port}/").bodyAsText())
            assertFailsWith<IOException> { http.get("https://127.0.0.1:${server.port}/") }
        }
        withClient { http -> assertFailsWith<IOException> { http.get("https://localhost:${server.port}/") } }
        assertEquals(1, server.requests.size)
        server.close()
    }

    @Test
    fun `an encrypted response without a length is read whole`() {
        val keys = keys()
        val server = ScriptedServer(readsBody = true, tlsSocket(keys)) { _, socket ->
            socket.writeText("HTTP/1.1 200 OK\r\n\r\nbody")
            socket.close()
        }
        withClient({ trusting(keys) }) { http ->
            assertEquals("body", http.get("https://localhost:${server.port}/").bodyAsText())
        }
        server.close()
    }

    @Test
    fun `an encrypted response without a length that is reset is not read as whole`() {
        val keys = keys()
        val server = ScriptedServer(readsBody = true, tlsSocket(keys)) { _, socket ->
            socket.writeText("HTTP/1.1 200 OK\r\n\r\nbody")
            socket.reset()
        }
        withClient({ trusting(keys) }) { http ->
            assertFailsWith<IOException> { http.get("https://localhost:${server.port}/").bodyAsText() }
        }
        server.close()
    }

    private fun withClient(
        tls: () -> SslContext = { SslContextBuilder.forClient().build() },
        block: suspend (HttpClient) -> Unit,
    ) = StrictHttpEngine(SystemClock, "test-client", tls).use { engine ->
        HttpClient(engine).use { runBlocking { block(it) } }
    }

    private fun keys(): KeyStore = buildKeyStore {
        certificate(ALIAS) {
            password = PASSWORD
            domains = listOf("localhost")
            ipAddresses = emptyList()
        }
    }

    private fun trusting(keys: KeyStore): SslContext =
        SslContextBuilder.forClient().trustManager(keys.getCertificate(ALIAS) as X509Certificate).build()

    private fun tlsSocket(keys: KeyStore): ServerSocket {
        val managers = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm())
        managers.init(keys, PASSWORD.toCharArray())
        val context = SSLContext.getInstance("TLS").apply { init(managers.keyManagers, null, null) }
        return context.serverSocketFactory.createServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
    }

    private companion object {
        const val ALIAS = "server"
        const val PASSWORD = "test-only"
    }
}
