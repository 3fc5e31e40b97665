package org.persimmonrelay.http

import io.netty.handler.codec.http.DefaultHttpHeaders
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import org.persimmonrelay.clock.SystemClock
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class KilledProcessTest {
    // Guards against a killed node whose callers take the part that they have for the whole response (MIXED).
    @Test
    fun `an HTTP 1_1 caller of a process that is killed within a response misses the last chunk`() {
        val response = responseOfKilledProcess("HTTP/1.1")

        assertTrue("transfer-encoding: chunked" in response.text.lowercase(), response.text)
        assertTrue(StreamingProcess.EVENT in response.text, response.text)
        assertFalse(response.text.endsWith("0\r\n\r\n"), response.text)
    }

    // Guards against the same for callers that can't read chunks: only a reset tells them.
    @Test
    fun `an HTTP 1_0 caller of a process that is killed within a response gets a reset`() {
        val response = responseOfKilledProcess("HTTP/1.0")

        assertTrue(StreamingProcess.EVENT in response.text, response.text)
        assertTrue(response.isReset, response.text)
    }

    // Guards against the same when the response has ended, but the process still holds bytes for a slow caller.
    @Test
    fun `an HTTP 1_0 caller of a process that is killed with unsent bytes of an ended response gets a reset`() {
        val response = exchange("HTTP/1.0", StreamingProcess.ENDED) { socket, process ->
            process.killAfterEnd()
            receive(socket) {}
        }

        assertTrue(response.isReset, "${response.text.length} characters of ${StreamingProcess.ENDED_BYTES}")
    }

    // Guards against the rejection of a second request, or its response, within the body of the first one.
    @Test
    fun `an HTTP 1_0 caller that sends a second request gets the first response and nothing behind it`() {
        for (second in listOf("no request\r\n\r\n", "GET / HTTP/1.0\r\nHost: h\r\n\r\n")) {
            val response = exchange("HTTP/1.0", StreamingProcess.ENDED) { socket, process ->
                process.awaitEnd()
                socket.getOutputStream().write(second.toByteArray())
                receive(socket) {}
            }

            val body = response.text.substringAfter("\r\n\r\n")
            assertFalse(response.isReset, "$second: ${body.length}")
            assertEquals("~".repeat(StreamingProcess.ENDED_BYTES), body, second)
        }
    }

    private data class Received(val text: String, val isReset: Boolean)

    private fun responseOfKilledProcess(version: String): Received =
        exchange(version, "/") { socket, process -> receive(socket) { process.kill() } }

    /** Sends a request for [path] to a [StreamingProcess] and returns what [receive] does. */
    private fun exchange(version: String, path: String, receive: (Socket, RunningProcess) -> Received): Received {
        val process = RunningProcess()
        try {
            return Socket().use { socket ->
                socket.receiveBufferSize = RECEIVE_BUFFER_BYTES
                socket.connect(InetSocketAddress("127.0.0.1", process.port))
                socket.soTimeout = READ_TIMEOUT_MILLIS
                socket.getOutputStream().write("GET $path $version\r\nHost: h\r\n\r\n".toByteArray())
                receive(socket, process)
            }
        } finally {
            process.kill()
        }
    }

    private class RunningProcess {
        private val process = ProcessBuilder(
            ProcessHandle.current().info().command().orElse("java"),
            "-cp",
            System.getProperty("java.class.path"),
            StreamingProcess::class.java.name,
        ).start()
        private val lines = process.inputStream.bufferedReader()
        val port = lines.readLine().toInt()

        /** Waits until the process has ended its response. */
        fun awaitEnd() = assertEquals(StreamingProcess.ENDED, lines.readLine())

        fun killAfterEnd() {
            awaitEnd()
            kill()
        }

        /** Returns once the process is gone. */
        fun kill() {
            process.destroyForcibly().waitFor()
        }
    }

    /** Reads to the end of the connection; [eventArrived] is called once the event is there. */
    private fun receive(socket: Socket, eventArrived: () -> Unit): Received {
        val input = socket.getInputStream().buffered()
        val text = StringBuilder()
        try {
            while (true) {
                val byte = input.read()
                if (byte < 0) return Received(text.toString(), isReset = false)
                text.append(byte.toChar())
                if (text.endsWith(StreamingProcess.EVENT)) eventArrived()
            }
        } catch (_: IOException) {
            return Received(text.toString(), isReset = true)
        }
    }

    private companion object {
        const val READ_TIMEOUT_MILLIS = 20_000

        /** Far below [StreamingProcess.ENDED_BYTES], so that most bytes stay with the process. */
        const val RECEIVE_BUFFER_BYTES = 16_384
    }
}

/**
 * Program that prints its port once it listens. It begins to respond to each request and never ends, but for the path
 * [ENDED]: there it sends a body of [ENDED_BYTES] and prints the path after the end.
 */
object StreamingProcess {
    const val EVENT = "id: 1\ndata: piece\n\n"
    const val ENDED = "/ended"

    /** More than the system's buffers of a connection hold. */
    const val ENDED_BYTES = 16_000_000

    @JvmStatic
    fun main(arguments: Array<String>) {
        val limits = ConnectionLimits(
            headerBytes = 8_192,
            bodyBytes = 8_192,
            headerTimeoutMillis = 10_000,
            idleTimeoutMillis = 10_000,
        )
        val server = CallerServer(
            EventLoopThread("streaming"),
            ServerAddress("127.0.0.1", 0),
            SystemClock,
            { limits },
            { CallerResponse(it.status, DefaultHttpHeaders(), ByteArray(0)) },
            ::respond,
        )
        println(runBlocking { server.start() })
        Thread.currentThread().join()
    }

    private suspend fun respond(exchange: CallerExchange) {
        exchange.startResponse(200, DefaultHttpHeaders())
        if (exchange.head.path == ENDED) return respondToEnd(exchange)
        exchange.write(EVENT.toByteArray())
        awaitCancellation()
    }

    private fun respondToEnd(exchange: CallerExchange) {
        exchange.write("~".repeat(ENDED_BYTES).toByteArray())
        exchange.endResponse()
        println(ENDED)
    }
}
