package org.persimmonrelay.forward

import org.persimmonrelay.backend.EngineStage
import org.persimmonrelay.forward.ForwardFixture.Companion.request
import org.persimmonrelay.quarantine.QuarantineEvent
import org.persimmonrelay.route.RouteKind
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Servers on loopback that end as soon as they run one request, which comes again and again under new ids. */
class CrashingRequestTest {
    /** Guards against one request ending one plain server after the other without an end (BUDGET). */
    @Test
    fun `an idempotent request under which servers ended is no longer sent to servers when it comes again`() =
        assertContained(RouteKind.Idempotent)

    /** Guards against the same where each request may run at one server only. */
    @Test
    fun `nor is one that may not be repeated`() = assertContained(RouteKind.NonIdempotent)

    /** Guards against an engine's request that has no prompt part of its own but the last. */
    @Test
    fun `nor is one for an engine whose prompt parts others share`() {
        val engines = servers(::engineResponse)
        val kind = RouteKind.Streaming(resumable = true, pauseTarget = 100.milliseconds)
        ForwardFixture(kind, engines, engines.map { EngineStage.DECODE }, timeout = 6.seconds).use { node ->
            repeat(engines.size) {
                node.exchange(prompt("d$it", DEADLY))
                node.awaitLosses(engines)
                assertTrue(node.exchange(prompt("s$it", "sound $it")).contains("id: 2"), "sound request $it")
            }

            assertContained(engines)
        }
    }

    @Test
    fun `requests that were broken when servers ended under another are still served`() {
        val servers = servers(::response)
        ForwardFixture(RouteKind.Idempotent, servers, timeout = 6.seconds).use { node ->
            repeat(4) {
                node.exchange(request("d$it", body = DEADLY))
                node.awaitLosses(servers)
            }

            val responses = (1..20).map { node.exchange(request("s$it", body = "sound")) }
            assertTrue(responses.all { it.startsWith("HTTP/1.1 200") }, responses.joinToString())
        }
    }

    private fun assertContained(kind: RouteKind) {
        val servers = servers(::response)
        ForwardFixture(kind, servers, timeout = 6.seconds).use { node ->
            val responses = (1..servers.size).map {
                node.exchange(request("r$it", body = DEADLY)).also { node.awaitLosses(servers) }
            }

            assertContained(servers)
            assertTrue(responses.last().startsWith("HTTP/1.1 503"), responses.last())
            assertTrue(node.exchange(request("sound", body = "sound")).startsWith("HTTP/1.1 200"))
            assertFalse(responses.first().startsWith("HTTP/1.1 503"), "it may have run: ${responses.first()}")
        }
    }

    /** Waits until the node knows of all servers that have ended; it asks each for a new connection first. */
    private fun ForwardFixture.awaitLosses(servers: List<ScriptedServer>) =
        awaitEvents(QuarantineEvent.SERVER_LOST, servers.count { it.isClosed })

    private fun assertContained(servers: List<ScriptedServer>) {
        val ended = servers.count { it.isClosed }
        assertTrue(ended <= MAX_ENDED, "$ended servers ended")
    }

    /** Servers that end shortly after they began to run the deadly request, and give [response] to others. */
    private fun servers(response: (RecordedRequest) -> String) = List(SERVERS) {
        lateinit var server: ScriptedServer
        server = ScriptedServer { request, socket ->
            if (request.body.decodeToString() == DEADLY) {
                Thread.sleep(CRASH_MILLIS)
                server.close()
            } else {
                socket.writeText(response(request))
            }
        }
        server
    }

    private fun response(request: RecordedRequest) =
        "HTTP/1.1 200 OK\r\nRequest-Id: ${request.id}\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nok"

    private fun engineResponse(request: RecordedRequest) =
        streamHead(request) + chunk(event(1)) + chunk(event(2)) + LAST_CHUNK

    private fun prompt(id: String, body: String) =
        request(id, body = body, more = arrayOf("Token-Count: 900,20", "Prompt-Prefix: system:100,own-$id:100"))

    private companion object {
        const val DEADLY = "deadly"
        const val SERVERS = 10

        /** Well below the time within which nodes may notice one event. */
        const val CRASH_MILLIS = 20L

        /** The evidence of three servers is enough; the request that ends the third may already be at a fourth. */
        const val MAX_ENDED = 4
    }
}
