package org.persimmonrelay.engine

import arrow.core.Either
import kotlinx.coroutines.flow.last
import kotlinx.coroutines.runBlocking
import org.persimmonrelay.clock.SystemClock
import org.persimmonrelay.forward.ScriptedServer
import org.persimmonrelay.forward.writeText
import org.persimmonrelay.identity.RequestId
import java.net.Socket
import java.util.concurrent.atomic.AtomicLong
import kotlin.test.Test
import kotlin.test.assertTrue

/** An engine writes without end what is no response. */
class EndlessEngineResponseTest {
    private val written = AtomicLong()

    // Guards against a node that keeps all bytes of a faulty engine until its memory is used up.
    @Test
    fun `an output line without end fails the request`() = assertFails("200 OK", "a".repeat(FILLER)) { address ->
        generate(address, REQUEST).last()
    }

    @Test
    fun `an error without end fails the request`() = assertFails("500 Oops", "a".repeat(FILLER)) { address ->
        generate(address, REQUEST).last()
    }

    @Test
    fun `a head without end fails the request`() =
        assertFails("200 OK", "X-Filler: ${"a".repeat(FILLER)}\r\n", isHead = true) { generate(it, REQUEST).last() }

    @Test
    fun `a load report without end fails the call`() =
        assertFails("200 OK", "a".repeat(FILLER)) { address -> loadReport(address) }

    private fun assertFails(
        status: String,
        filler: String,
        isHead: Boolean = false,
        call: suspend KtorEngineClient.(EngineAddress) -> Either<EngineFailure, Any>,
    ) {
        val engine = ScriptedServer { _, socket ->
            socket.writeText("HTTP/1.1 $status\r\n" + if (isHead) "" else "Connection: close\r\n\r\n")
            socket.writeEndlessly(filler)
        }
        val result = engine.use {
            KtorEngineClient(SystemClock).use { client ->
                runBlocking { client.call(EngineAddress("127.0.0.1:${engine.port}")) }
            }
        }
        assertTrue(result.isLeft(), "$result")
        assertTrue(written.get() < BOUND_BYTES, "${written.get()} bytes")
    }

    private fun Socket.writeEndlessly(text: String) {
        val bytes = text.encodeToByteArray()
        runCatching {
            while (written.get() < FAR_TOO_MUCH_BYTES) {
                getOutputStream().write(bytes)
                written.addAndGet(bytes.size.toLong())
            }
        }
    }

    private companion object {
        val REQUEST = GenerateRequest(RequestId("r1"), attempt = 1, model = "m", prompt = "a prompt", maxTokens = 4)
        const val FILLER = 16_384

        /** What a node and the buffers of a connection may hold. */
        const val BOUND_BYTES = 24L * 1024 * 1024
        const val FAR_TOO_MUCH_BYTES = 150L * 1024 * 1024
    }
}
