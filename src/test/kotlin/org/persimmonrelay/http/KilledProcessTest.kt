package org.persimmonrelay.http

import io.netty.handler.codec.http.DefaultHttpHeaders
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import org.persimmonrelay.clock.SystemClock
import java.io.IOException
import java.io.InputStream
import java.net.Socket
import kotlin.test.Test
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

    private data class Received(val text: String, val isReset: Boolean)

    private fun responseOfKilledProcess(version: String): Received {
        val java = ProcessHandle.current().info().command().orElse("java")
        val classes = System.getProperty("java.class.path")
        val process = ProcessBuilder(java, "-cp", classes, StreamingProcess::class.java.name).start()
        try {
            val port = process.inputStream.bufferedReader().readLine().toInt()
            return Socket("127.0.0.1", port).use { socket ->
                socket.soTimeout = READ_TIMEOUT_MILLIS
                socket.getOutputStream().write("GET / $version\r\nHost: h\r\n\r\n".toByteArray())
                receive(socket.getInputStream()) { process.destroyForcibly() }
            }
        } finally {
            process.destroyForcibly()
        }
    }

    /** Reads to the end of the connection; [eventArrived] is called once the event is there. */
    private fun receive(input: InputStream, eventArrived: () -> Unit): Received {
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
    }
}

/** Program that begins to respond to each request and never ends. It prints its port once it listens. */
object StreamingProcess {
    const val EVENT = "id: 1\ndata: piece\n\n"

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
        exchange.write(EVENT.toByteArray())
        awaitCancellation()
    }
}
