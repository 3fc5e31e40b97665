package org.persimmonrelay.entry

import io.ktor.http.HttpMethod
import kotlinx.coroutines.runBlocking
import org.persimmonrelay.clock.SystemClock
import org.persimmonrelay.forward.InvalidResponses
import org.persimmonrelay.forward.ScriptedServer
import org.persimmonrelay.forward.reset
import org.persimmonrelay.forward.writeText
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/** Responses of plain services that break the grammar of HTTP/1.1, or that break off. */
class InvalidServiceResponseTest {
    // Guards against a status 000 that reaches the client as an answer, or is recorded as one.
    @Test
    fun `an invalid response gives an unknown outcome`() {
        assertEquals(emptyList(), answered(InvalidResponses.of("body")))
    }

    @Test
    fun `an unusual but valid response is returned`() {
        val valid = InvalidResponses.validOf("body")

        assertEquals(valid, answered(valid))
    }

    @Test
    fun `a response without a length that is reset gives an unknown outcome`() {
        assertEquals(0, earlyAnswers(SMALL, readBytes = SMALL.size) { it.reset() })
    }

    // Guards against a 200 with part of the body, framed as whole (MIXED).
    @Test
    fun `a response without a length is broken when the server ends before it has read the request`() {
        listOf(0, 100_000).forEach { read ->
            assertEquals(0, earlyAnswers(LARGE, read) { it.reset() }, "$read bytes read, reset")
            assertEquals(0, earlyAnswers(LARGE, read) { it.close() }, "$read bytes read, closed")
        }
    }

    /** The [responses] that the client took for answers. */
    private fun answered(responses: List<String>): List<String> {
        val server = ScriptedServer { request, socket ->
            val index = request.header("X-Case")!!.toInt()
            socket.writeText(responses[index], Charsets.ISO_8859_1)
            socket.close()
        }
        return server.use { responses.filterIndexed { i, _ -> send(server, SMALL, i) is ServiceCallOutcome.Answered } }
    }

    /** How many of some responses count as answers if the server ends by [end] after part of the request. */
    private fun earlyAnswers(body: ByteArray, readBytes: Int, end: (Socket) -> Unit): Int {
        val server = ScriptedServer(readsBody = false) { _, socket ->
            socket.getInputStream().readNBytes(readBytes)
            socket.writeText("HTTP/1.1 200 OK\r\n\r\nhalf of the body")
            Thread.sleep(PAUSE_MILLIS)
            end(socket)
        }
        return server.use { (1..TRIES).count { send(server, body, it) is ServiceCallOutcome.Answered } }
    }

    private fun send(server: ScriptedServer, body: ByteArray, case: Int): ServiceCallOutcome = runBlocking {
        val request = ServiceRequest(HttpMethod.Post, "/book", listOf("X-Case" to "$case"), null, body)
        ServiceClient(LIMIT, 1.seconds, SystemClock).use { it.send("127.0.0.1:${server.port}", request, 5.seconds) }
    }

    private companion object {
        const val LIMIT = 1_000L
        const val TRIES = 10
        const val PAUSE_MILLIS = 20L
        val SMALL = ByteArray(10)
        val LARGE = ByteArray(4_000_000)
    }
}
