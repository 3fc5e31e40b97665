package org.persimmonrelay.forward

import org.persimmonrelay.backend.EngineStage
import org.persimmonrelay.forward.ForwardFixture.Companion.RESET
import org.persimmonrelay.forward.ForwardFixture.Companion.request
import org.persimmonrelay.route.RouteKind
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class StreamForwardingTest {
    private val resumable = RouteKind.Streaming(resumable = true, pauseTarget = 100.milliseconds)
    private val fixed = RouteKind.Streaming(resumable = false, pauseTarget = 100.milliseconds)

    @Test
    fun `events pass through as they are`() {
        ForwardFixture(fixed, listOf(streaming(3))).use { node ->
            assertEquals((1..3).toList(), ids(node.exchange(request("r1"))))
        }
    }

    @Test
    fun `a stream cut inside an event goes on at another server behind the last whole one`() {
        val breaking = ScriptedServer { request, socket ->
            socket.writeText(streamHead(request) + chunk(event(1)) + chunk(event(2) + "id: 3\nda"))
            Thread.sleep(SETTLE_MILLIS)
            socket.reset()
        }
        val resuming = streaming(6)
        ForwardFixture(resumable, listOf(breaking, resuming)).use { node ->
            val answers = (0 until 4).map { node.exchange(request("r$it")) }

            answers.forEach { assertEquals((1..6).toList(), ids(it)) }
            answers.forEach { assertTrue(it.endsWith(LAST_CHUNK), it) }
            assertTrue(resuming.requests.any { it.header("Last-Event-Id") == "2" })
        }
    }

    @Test
    fun `a silent stream goes on elsewhere`() {
        val stalling = ScriptedServer { request, socket -> socket.writeText(streamHead(request) + chunk(event(1))) }
        ForwardFixture(resumable, listOf(stalling, streaming(4))).use { node ->
            repeat(2) { assertEquals((1..4).toList(), ids(node.exchange(request("r$it")))) }
        }
    }

    @Test
    fun `a broken stream that may not be resumed does not look complete`() {
        val breaking = ScriptedServer { request, socket ->
            socket.writeText(streamHead(request) + chunk(event(1)))
            Thread.sleep(SETTLE_MILLIS)
            socket.reset()
        }
        ForwardFixture(fixed, listOf(breaking, streaming(4)), attempts = 1).use { node ->
            val answer = generateSequence(0) { it + 1 }.take(4).map { node.exchange(request("r$it")) }
                .first { ids(it) == listOf(1) }

            assertFalse(answer.endsWith(LAST_CHUNK), answer)
            assertTrue(answer.endsWith(RESET) || !answer.contains(LAST_CHUNK), answer)
        }
    }

    @Test
    fun `a long prompt is read at one server and its tokens are made at another`() {
        val reader = ScriptedServer { request, socket ->
            socket.writeText(answerTo(request, "200 OK", """{"kv_handle":"h1","tokens":900,"version":1}"""))
        }
        val maker = streaming(2)
        val stages = listOf(EngineStage.PREFILL, EngineStage.DECODE)
        ForwardFixture(fixed, listOf(reader, maker), stages).use { node ->
            assertEquals(listOf(1, 2), ids(node.exchange(prompt("r1"))))
            assertEquals("prefill", reader.requests.first().header("Stage"))
            assertEquals("127.0.0.1:${reader.port}/h1", maker.requests.single().header("Kv-Source"))
        }
    }

    @Test
    fun `a handle that is gone leads to a server that reads the prompt itself`() {
        val reader = ScriptedServer { request, socket ->
            socket.writeText(answerTo(request, "200 OK", """{"kv_handle":"h1","tokens":900,"version":1}"""))
        }
        val maker = ScriptedServer { request, socket ->
            if (request.header("Kv-Source") == null) {
                socket.writeText(streamHead(request) + chunk(event(1)) + LAST_CHUNK)
            } else {
                socket.writeText(answerTo(request, "503 Service Unavailable", "", "Not-Executed: 1"))
            }
        }
        val stages = listOf(EngineStage.PREFILL, EngineStage.DECODE, EngineStage.DECODE)
        ForwardFixture(fixed, listOf(reader, maker, maker), stages).use { node ->
            assertEquals(listOf(1), ids(node.exchange(prompt("r1"))))
            assertNotNull(reader.requests.firstOrNull { it.line.startsWith("DELETE") })
        }
    }

    private fun prompt(id: String) =
        request(id, more = arrayOf("Token-Count: 900,20", "Prompt-Prefix: aa:800,bb:100", "Model: m"))

    private fun streaming(last: Int) = ScriptedServer { request, socket ->
        val from = (request.header("Last-Event-Id")?.toInt() ?: 0) + 1
        socket.writeText(streamHead(request) + (from..last).joinToString("") { chunk(event(it)) } + LAST_CHUNK)
    }

    private fun ids(answer: String): List<Int> =
        Regex("id: (\\d+)\ndata").findAll(answer).map { it.groupValues[1].toInt() }.toList()

    private companion object {
        const val SETTLE_MILLIS = 50L
    }
}
