package org.persimmonrelay.forward

import org.persimmonrelay.backend.EngineStage
import org.persimmonrelay.forward.ForwardFixture.Companion.request
import org.persimmonrelay.quarantine.QuarantineEvent
import org.persimmonrelay.route.RouteKind
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Engines on loopback that end as soon as they begin to write an answer to a prompt with a certain part. */
class CrashingPromptTest {
    private val resumable = RouteKind.Streaming(resumable = true, pauseTarget = 100.milliseconds)

    // Guards against requests that share one prompt part ending one server after the other without an end (BUDGET).
    @Test
    fun `requests with a prompt part under which servers ended are no longer sent to servers`() {
        val engines = List(ENGINES) { engine() }
        ForwardFixture(resumable, engines, engines.map { EngineStage.DECODE }, timeout = 6.seconds).use { node ->
            val responses = (1..ENGINES).map { node.exchange(prompt("r$it", DEADLY_PART)) }

            val ended = engines.count { it.isClosed }
            assertTrue(ended <= MAX_ENDED, "$ended servers ended")
            assertTrue(responses.last().startsWith("HTTP/1.1 503"), responses.last())
            assertTrue(node.exchange(prompt("sound", "other")).contains("id: 2"))
        }
    }

    // Guards against missing the end of servers whose connections fall silent.
    @Test
    fun `servers that end without closing their connections count too`() {
        val engines = List(ENGINES) { silentEngine() }
        val kind = RouteKind.Idempotent
        ForwardFixture(
            kind,
            engines,
            engines.map {
                EngineStage.DECODE
            },
            timeout = 6.seconds,
            attempts = 3,
        ).use { node ->
            repeat(4) { node.exchange(prompt("r$it", DEADLY_PART)) }

            val ended = engines.count { it.isClosed }
            assertTrue(ended <= MAX_ENDED, "$ended servers ended")
        }
    }

    // Guards against blaming prompts for servers that only break a response.
    @Test
    fun `servers that break their responses and live on are no reason to refuse the prompt`() {
        val engines = List(ENGINES) {
            ScriptedServer { request, socket ->
                socket.writeText(streamHead(request))
                Thread.sleep(START_MILLIS)
                socket.close()
            }
        }
        ForwardFixture(resumable, engines, engines.map { EngineStage.DECODE }, timeout = 6.seconds).use { node ->
            val responses = (1..6).map { node.exchange(prompt("r$it", "sound")) }

            assertTrue(responses.all { it.startsWith("HTTP/1.1 502") }, responses.joinToString())
        }
    }

    // Guards against blaming prompts for servers that are taken away as planned.
    @Test
    fun `the end of servers that had left the list is no reason to refuse the prompt`() {
        lateinit var node: ForwardFixture
        val engines = List(ENGINES) {
            lateinit var engine: ScriptedServer
            engine = ScriptedServer { request, socket ->
                socket.writeText(streamHead(request))
                node.leave(engine)
                engine.close()
            }
            engine
        }
        node = ForwardFixture(resumable, engines, engines.map { EngineStage.DECODE }, timeout = 6.seconds)
        node.use {
            repeat(ENGINES / 2) { node.exchange(prompt("r$it", "sound")) }

            assertEquals(emptyList(), node.recorded(QuarantineEvent.SERVER_LOST, "server"))
        }
    }

    private fun silentEngine(): ScriptedServer {
        lateinit var engine: ScriptedServer
        engine = ScriptedServer { _, _ -> engine.stopListening() }
        return engine
    }

    private fun prompt(id: String, part: String) = request(
        id,
        body = "$part for $id",
        more = arrayOf("Token-Count: 900,20", "Prompt-Prefix: system:100,$part:700,own-$id:100"),
    )

    private fun engine(): ScriptedServer {
        lateinit var engine: ScriptedServer
        engine = ScriptedServer { request, socket ->
            if (request.header("Prompt-Prefix").orEmpty().contains(DEADLY_PART)) {
                socket.writeText(streamHead(request))
                Thread.sleep(START_MILLIS)
                engine.close()
            } else {
                socket.writeText(streamHead(request) + chunk(event(1)) + chunk(event(2)) + LAST_CHUNK)
            }
        }
        return engine
    }

    private companion object {
        const val DEADLY_PART = "deadly"
        const val ENGINES = 10

        /** Time from the head of the response to the end of the engine. */
        const val START_MILLIS = 120L

        /** The evidence of three servers is enough; the request that ends the third may already be at a fourth. */
        const val MAX_ENDED = 4
    }
}
