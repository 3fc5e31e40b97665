package org.persimmonrelay.entry

import io.ktor.http.HttpMethod
import kotlinx.coroutines.runBlocking
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What a plain service's answer is worth when its connection ends at an awkward point. */
class ServiceClientTest {
    @Test
    fun `a whole answer is an answer`() {
        val end = endOf("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")

        assertEquals("hello", assertIs<ServiceEnd.Answered>(end).answer.body.decodeToString())
    }

    @Test
    fun `a chunked answer without its last chunk is unknown`() {
        assertIs<ServiceEnd.Unknown>(endOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"))
    }

    @Test
    fun `an answer shorter than its length is unknown`() {
        assertIs<ServiceEnd.Unknown>(endOf("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello"))
    }

    @Test
    fun `a connection that closes without an answer is unknown`() {
        assertIs<ServiceEnd.Unknown>(endOf(""))
    }

    @Test
    fun `a connection that stays silent is unknown after the timeout`() {
        assertIs<ServiceEnd.Unknown>(endOf("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello", close = false))
    }

    @Test
    fun `a refused connection is not sent`() = runBlocking<Unit> {
        val port = ServerSocket(0).use { it.localPort }

        assertIs<ServiceEnd.NotSent>(
            ServiceClient(LIMIT, 1.seconds).use {
                it.send("127.0.0.1:$port", CALL, 1.seconds)
            },
        )
    }

    /** The end of a call to a server that takes the request, says [answer] and then closes or goes silent. */
    private fun endOf(answer: String, close: Boolean = true): ServiceEnd = ServerSocket(0).use { server ->
        val serving =
            thread {
                val socket = server.accept()
                socket.getInputStream().read(ByteArray(4_096))
                socket.getOutputStream().write(answer.encodeToByteArray())
                if (close) socket.close()
            }
        val timeout = if (close) 10.seconds else 200.milliseconds
        runBlocking {
            ServiceClient(LIMIT, 1.seconds).use { it.send("127.0.0.1:${server.localPort}", CALL, timeout) }
        }.also { serving.join() }
    }

    private companion object {
        const val LIMIT = 1_000L
        val CALL = ServiceCall(HttpMethod.Post, "/book", emptyList(), null, "x".encodeToByteArray())
    }
}
