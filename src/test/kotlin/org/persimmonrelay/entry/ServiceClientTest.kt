package org.persimmonrelay.entry

import io.ktor.http.HttpMethod
import kotlinx.coroutines.runBlocking
import org.persimmonrelay.clock.SystemClock
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Outcomes of calls to a plain service whose connection closes or stalls at different points. */
class ServiceClientTest {
    @Test
    fun `a complete response is returned`() {
        val outcome = outcomeOf("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")

        assertEquals("hello", assertIs<ServiceCallOutcome.Answered>(outcome).response.body.decodeToString())
    }

    @Test
    fun `a chunked response without its last chunk gives an unknown outcome`() {
        assertIs<ServiceCallOutcome.Unknown>(
            outcomeOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"),
        )
    }

    @Test
    fun `a response shorter than its Content-Length gives an unknown outcome`() {
        assertIs<ServiceCallOutcome.Unknown>(outcomeOf("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello"))
    }

    @Test
    fun `a connection closed without a response gives an unknown outcome`() {
        assertIs<ServiceCallOutcome.Unknown>(outcomeOf(""))
    }

    @Test
    fun `a response that stalls gives an unknown outcome after the timeout`() {
        assertIs<ServiceCallOutcome.Unknown>(
            outcomeOf("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello", close = false),
        )
    }

    @Test
    fun `a refused connection gives the outcome not sent`() = runBlocking<Unit> {
        val port = ServerSocket(0).use { it.localPort }

        assertIs<ServiceCallOutcome.NotSent>(
            ServiceClient(LIMIT, 1.seconds, SystemClock).use {
                it.send("127.0.0.1:$port", REQUEST, 1.seconds)
            },
        )
    }

    /** Outcome of a call to a server that reads the request, sends [response], and then closes or stalls. */
    private fun outcomeOf(response: String, close: Boolean = true): ServiceCallOutcome = ServerSocket(0).use { server ->
        val serverThread =
            thread {
                val socket = server.accept()
                socket.getInputStream().read(ByteArray(4_096))
                socket.getOutputStream().write(response.encodeToByteArray())
                if (close) socket.close()
            }
        val timeout = if (close) 10.seconds else 200.milliseconds
        runBlocking {
            ServiceClient(LIMIT, 1.seconds, SystemClock).use {
                it.send("127.0.0.1:${server.localPort}", REQUEST, timeout)
            }
        }.also { serverThread.join() }
    }

    private companion object {
        const val LIMIT = 1_000L
        val REQUEST = ServiceRequest(HttpMethod.Post, "/book", emptyList(), null, "x".encodeToByteArray())
    }
}
