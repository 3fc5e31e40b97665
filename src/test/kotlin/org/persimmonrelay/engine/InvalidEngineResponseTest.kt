package org.persimmonrelay.engine

import arrow.core.Either
import kotlinx.coroutines.flow.lastOrNull
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import org.persimmonrelay.clock.SystemClock
import org.persimmonrelay.forward.InvalidResponses
import org.persimmonrelay.forward.ScriptedServer
import org.persimmonrelay.forward.chunk
import org.persimmonrelay.forward.writeText
import org.persimmonrelay.identity.RequestId
import kotlin.test.Test
import kotlin.test.assertEquals

/** Responses of engines that break the grammar of HTTP/1.1. */
class InvalidEngineResponseTest {
    private val output = """data: {"attempt":1,"offset":0,"text":"a"}""" + "\n\n"

    @Test
    fun `an output in an invalid response fails the request`() {
        assertEquals(emptyList(), taken(InvalidResponses.of(output), ::generate))
    }

    @Test
    fun `an output in an unusual but valid response is taken`() {
        val valid = InvalidResponses.validOf(output)

        assertEquals(valid, taken(valid, ::generate))
    }

    // Guards against an end without a failure, when a response breaks off between two steps of the client's reading.
    @Test
    fun `an output that breaks off always ends with a failure`() {
        val head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        val response = head + chunk(":\n").repeat(10) + "0\r\nnot a field\r\n\r\n"
        ScriptedServer { _, socket -> socket.writeText(response) }.use { engine ->
            KtorEngineClient(SystemClock).use { client ->
                val address = EngineAddress("127.0.0.1:${engine.port}")
                val last = runBlocking { List(TRIES) { client.generate(address, REQUEST).lastOrNull() } }
                assertEquals(emptyList(), last.filter { it == null || it.isRight() })
            }
        }
    }

    /** The [responses] that [call] took for whole ones. */
    private fun taken(
        responses: List<String>,
        call: suspend (KtorEngineClient, EngineAddress) -> Either<EngineFailure, Any>,
    ): List<String> = responses.filter { response ->
        val engine = ScriptedServer { _, socket ->
            socket.writeText(response, Charsets.ISO_8859_1)
            socket.close()
        }
        engine.use {
            KtorEngineClient(SystemClock).use { client ->
                runBlocking { call(client, EngineAddress("127.0.0.1:${engine.port}")) }.isRight()
            }
        }
    }

    private suspend fun generate(client: KtorEngineClient, address: EngineAddress) =
        client.generate(address, REQUEST).toList().let { all -> all.firstOrNull { it.isLeft() } ?: all.last() }

    private companion object {
        const val TRIES = 3000
        val REQUEST = GenerateRequest(RequestId("r1"), attempt = 1, model = "m", prompt = "a prompt", maxTokens = 4)
    }
}
