package org.persimmonrelay.http

import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.netty.handler.ssl.SslContextBuilder
import kotlinx.coroutines.runBlocking
import org.persimmonrelay.clock.SystemClock
import org.persimmonrelay.forward.ScriptedServer
import org.persimmonrelay.forward.reset
import org.persimmonrelay.forward.responseTo
import org.persimmonrelay.forward.writeText
import java.io.IOException
import java.net.Socket
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

/**
 * Responses over TLS. When no length marks the end of a response, TLS's mark of the end of the server's output
 * (close_notify) does.
 */
class EncryptedResponseTest {
    private val listening = TlsServerSocket("localhost")

    @AfterTest
    fun close() = listening.close()

    @Test
    fun `a response is read, if the certificate is trusted and has the server's name`() {
        val server = ScriptedServer(readsBody = true, listening) { request, socket ->
            socket.writeText(responseTo(request, "200 OK", "body"))
        }
        withClient { http ->
            assertEquals("body", http.get("https://localhost:${server.port}/").bodyAsText())
            assertFailsWith<IOException> { http.get("https://127.0.0.1:${server.port}/") }
        }
        val untrusting = SslContextBuilder.forClient()
        withClient(untrusting) { http ->
            assertFailsWith<IOException> { http.get("https://localhost:${server.port}/") }
        }
        assertEquals(1, server.requests.size)
        server.close()
    }

    @Test
    fun `a response without a length is read whole`() = withServer({ it.close() }) { http, url ->
        assertEquals("body", http.get(url).bodyAsText())
    }

    @Test
    fun `a response without a length is whole once its end is marked, even if a reset follows`() =
        withServer({ it.reset() }) { http, url -> assertEquals("body", http.get(url).bodyAsText()) }

    @Test
    fun `a response without a length that is reset is not read as whole`() =
        withServer({ listening.transportOf(it).reset() }) { http, url ->
            assertFailsWith<IOException> { http.get(url).bodyAsText() }
        }

    @Test
    fun `a response without a length whose connection ends unmarked is not read as whole`() =
        withServer({ listening.transportOf(it).close() }) { http, url ->
            assertFailsWith<IOException> { http.get(url).bodyAsText() }
        }

    @Test
    fun `a response without a length that is reset during the upload is not read as whole`() =
        assertIncompleteUpload { listening.transportOf(it).reset() }

    @Test
    fun `a response without a length is not read as whole when the upload can't end, even if its end is marked`() =
        assertIncompleteUpload {
            it.shutdownOutput()
            listening.transportOf(it).reset()
        }

    /** The server does [end] while it receives an upload, after a response without a length. */
    private fun assertIncompleteUpload(end: (Socket) -> Unit) {
        listening.receiveBufferSize = RECEIVE_BUFFER_BYTES
        withServer(end, readsBody = false) { http, url ->
            assertFailsWith<IOException> { http.post(url) { setBody(ByteArray(UPLOAD_BYTES)) }.bodyAsText() }
        }
    }

    /** Runs [call] several times on a server that does [end] after a response without a length. */
    private fun withServer(
        end: (Socket) -> Unit,
        readsBody: Boolean = true,
        call: suspend (HttpClient, String) -> Unit,
    ) {
        val server = ScriptedServer(readsBody, listening) { _, socket ->
            socket.writeText("HTTP/1.1 200 OK\r\n\r\nbody")
            end(socket)
        }
        withClient { http -> repeat(TRIES) { call(http, "https://localhost:${server.port}/") } }
        server.close()
    }

    private fun withClient(
        tls: SslContextBuilder = SslContextBuilder.forClient().trustManager(listening.certificate),
        block: suspend (HttpClient) -> Unit,
    ) = StrictHttpEngine(SystemClock, "test-client", tls::build).use { engine ->
        HttpClient(engine).use { runBlocking { block(it) } }
    }

    private companion object {
        /** The order in which a client sees data, an end and a reset varies. */
        const val TRIES = 50

        const val RECEIVE_BUFFER_BYTES = 64 * 1024

        /** More than the buffers of both ends hold. */
        const val UPLOAD_BYTES = 32 * 1024 * 1024
    }
}
