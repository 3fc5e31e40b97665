package org.persimmonrelay.forward

import org.persimmonrelay.backend.EngineStage
import org.persimmonrelay.forward.ForwardFixture.Companion.request
import org.persimmonrelay.route.RouteKind
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

/** Engines on loopback that report what they keep of prompts. */
class EngineWatchTest {
    private val kind = RouteKind.Streaming(resumable = false, pauseTarget = 100.milliseconds)
    private val stages = listOf(EngineStage.PREFILL, EngineStage.PREFILL, EngineStage.DECODE)

    @Test
    fun `a prompt is read where its shared part is reported to be kept`() {
        listOf(0, 1).forEach { keeper ->
            val engines = List(3) { engine(if (it == keeper) KEPT else "") }
            ForwardFixture(kind, engines, stages).use { node ->
                node.followEngines(engines.size)
                repeat(3) { node.exchange(prompt("r$it")) }

                assertEquals(3, engines[keeper].requests.count { it.header("Stage") == "prefill" })
            }
        }
    }

    @Test
    fun `an engine that has dropped changes is asked for all that it keeps`() {
        val engines = List(3) { engine("", isIncomplete = true) }
        ForwardFixture(kind, engines, stages).use { node ->
            node.followEngines(engines.size)
            node.exchange(prompt("r1"))

            assertTrue(engines.all { engine -> engine.requests.any { it.line.startsWith("GET /api/kv-list ") } })
        }
    }

    @Test
    fun `an engine whose reports fail is placed by what this node sent it, and the loss is logged`() {
        val engines = List(3) { engine("", failsAfterFirst = true) }
        ForwardFixture(kind, engines, stages).use { node ->
            node.followEngines(engines.size)
            node.awaitEvents(ForwardEvent.ENGINE_REPORTS_LOST, engines.size)

            assertTrue(node.exchange(prompt("r1")).contains("id: 1"))
        }
    }

    private fun prompt(id: String) =
        request(id, more = arrayOf("Token-Count: 9000,20", "Prompt-Prefix: aa:8000,own-$id:1000", "Model: m"))

    private fun engine(kept: String, isIncomplete: Boolean = false, failsAfterFirst: Boolean = false) =
        ScriptedServer { request, socket ->
            val answer = when {
                request.line.startsWith("GET /api/kv-list ") -> """{"epoch":1,"next":1,"held":[]}"""
                !request.line.startsWith("GET /api/kv-events") -> null
                request.line.contains("since=0") -> """{"epoch":1,"next":1,"lost":$isIncomplete,"events":[$kept]}"""
                failsAfterFirst -> ""
                else -> {
                    Thread.sleep(WAIT_MILLIS)
                    """{"epoch":1,"next":1,"lost":false,"events":[]}"""
                }
            }
            when {
                answer != null -> socket.writeText(answerTo(request, "200 OK", answer))
                request.header("Stage") != null ->
                    socket.writeText(answerTo(request, "200 OK", """{"kv_handle":"h1","tokens":9000,"version":1}"""))
                else -> socket.writeText(streamHead(request) + chunk(event(1)) + LAST_CHUNK)
            }
        }

    private companion object {
        const val KEPT = """[1,"+","","aa",8000,"m"]"""
        const val WAIT_MILLIS = 300L
    }
}
