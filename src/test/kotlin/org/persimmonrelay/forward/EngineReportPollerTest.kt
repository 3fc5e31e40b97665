package org.persimmonrelay.forward

import org.persimmonrelay.backend.EngineStage
import org.persimmonrelay.forward.ForwardFixture.Companion.request
import org.persimmonrelay.route.RouteKind
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

/** Placement of requests by the prompt cache reports of engines on loopback. */
class EngineReportPollerTest {
    private val kind = RouteKind.Streaming(resumable = false, pauseTarget = 100.milliseconds)
    private val stages = listOf(EngineStage.PREFILL, EngineStage.PREFILL, EngineStage.DECODE)

    @Test
    fun `a prompt is prefilled at the engine that reports its shared part as cached`() {
        listOf(0, 1).forEach { cachingEngine ->
            val engines = List(3) { engine(if (it == cachingEngine) CACHED_PREFIX else "") }
            ForwardFixture(kind, engines, stages).use { node ->
                node.awaitEngineReports(engines.size)
                repeat(3) { node.exchange(prompt("r$it")) }

                assertEquals(3, engines[cachingEngine].requests.count { it.header("Stage") == "prefill" })
            }
        }
    }

    @Test
    fun `an engine that has dropped changes is asked for its full cache contents`() {
        val engines = List(3) { engine("", isIncomplete = true) }
        ForwardFixture(kind, engines, stages).use { node ->
            node.awaitEngineReports(engines.size)
            node.exchange(prompt("r1"))

            assertTrue(engines.all { engine -> engine.requests.any { it.line.startsWith("GET /api/kv-list ") } })
        }
    }

    @Test
    fun `when the reports of an engine fail, requests are still served and the loss is logged`() {
        val engines = List(3) { engine("", failsAfterFirst = true) }
        ForwardFixture(kind, engines, stages).use { node ->
            node.awaitEngineReports(engines.size)
            node.awaitEvents(ForwardEvent.ENGINE_REPORTS_LOST, engines.size)

            assertTrue(node.exchange(prompt("r1")).contains("id: 1"))
        }
    }

    private fun prompt(id: String) =
        request(id, more = arrayOf("Token-Count: 9000,20", "Prompt-Prefix: aa:8000,own-$id:1000", "Model: m"))

    private fun engine(cached: String, isIncomplete: Boolean = false, failsAfterFirst: Boolean = false) =
        ScriptedServer { request, socket ->
            val body = when {
                request.line.startsWith("GET /api/kv-list ") -> """{"epoch":1,"next":1,"held":[]}"""
                !request.line.startsWith("GET /api/kv-events") -> null
                request.line.contains("since=0") -> """{"epoch":1,"next":1,"lost":$isIncomplete,"events":[$cached]}"""
                failsAfterFirst -> ""
                else -> {
                    Thread.sleep(LONG_POLL_MILLIS)
                    """{"epoch":1,"next":1,"lost":false,"events":[]}"""
                }
            }
            when {
                body != null -> socket.writeText(responseTo(request, "200 OK", body))
                request.header("Stage") != null ->
                    socket.writeText(responseTo(request, "200 OK", """{"kv_handle":"h1","tokens":9000,"version":1}"""))
                else -> socket.writeText(streamHead(request) + chunk(event(1)) + LAST_CHUNK)
            }
        }

    private companion object {
        const val CACHED_PREFIX = """[1,"+","","aa",8000,"m"]"""
        const val LONG_POLL_MILLIS = 300L
    }
}
