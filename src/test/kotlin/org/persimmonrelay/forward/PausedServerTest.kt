package org.persimmonrelay.forward

import org.persimmonrelay.backend.EngineStage
import org.persimmonrelay.backend.RetryBudgetPolicy
import org.persimmonrelay.forward.ForwardFixture.Companion.request
import org.persimmonrelay.route.RouteKind
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

/**
 * The first server that gets a request is sound, but pauses for longer than an attempt waits before another server is
 * asked too.
 */
class PausedServerTest {
    private val resumable = RouteKind.Streaming(resumable = true, pauseTarget = 50.milliseconds)

    // Guards against throwing away the answer of a sound server that pauses while no other server takes the request
    // (LOST).
    @Test
    fun `the response of a server that pauses is delivered whole when no other server serves the request`() {
        val cases = Pause.entries.flatMap { pause -> Other.entries.map { pause to it } }

        val failed = cases.parallelStream().filter { (pause, other) -> !isDeliveredWhole(pause, other) }.toList()

        assertEquals(emptyList(), failed)
    }

    // Guards against the same when the retry budget is used up.
    @Test
    fun `nor is it thrown away when the retry budget is used up`() {
        val none = RetryBudgetPolicy(ratio = 0.0, minimum = 0, window = 10.seconds)

        Pause.entries.parallelStream().forEach { pause ->
            val servers = List(2) { ScriptedServer(onlyFirst(pausing(pause), pausing(pause))) }
            ForwardFixture(pause.kind, servers, timeout = TIMEOUT, retryBudget = none).use { node ->
                assertTrue(pause.isWhole(node.exchange(longRequest("r1"))), "$pause")
                assertEquals(1, servers.sumOf { it.requests.size }, "$pause")
            }
        }
    }

    // Guards against the same when the prompt has been prefilled, and no other server decodes it.
    @Test
    fun `nor is it thrown away when another server refuses to decode`() {
        val prefilling = ScriptedServer { request, socket ->
            socket.writeText(responseTo(request, "200 OK", """{"kv_handle":"h1","tokens":900,"version":1}"""))
        }
        val decoding = onlyFirst(pausing(Pause.BETWEEN_EVENTS), Other.FULL.respond)
        val engines = listOf(prefilling, ScriptedServer(decoding), ScriptedServer(decoding))
        val stages = listOf(EngineStage.PREFILL, EngineStage.DECODE, EngineStage.DECODE)
        ForwardFixture(resumable, engines, stages, TIMEOUT).use { node ->
            assertTrue(Pause.BETWEEN_EVENTS.isWhole(node.exchange(longPrompt("r1"))))
            val decodes = engines.drop(1).flatMap { it.requests }.count { it.header("Kv-Source") != null }
            assertEquals(1, decodes)
        }
    }

    // Guards against giving up a prefill under way for a server that refuses the request.
    @Test
    fun `nor is a prefill whose server pauses`() {
        val stages = listOf(EngineStage.PREFILL) + List(3) { EngineStage.DECODE }
        listOf(true, false).forEach { isResumable ->
            val prefilling = ScriptedServer { request, socket ->
                Thread.sleep(PAUSE_MILLIS)
                socket.writeText(responseTo(request, "200 OK", """{"kv_handle":"h1","tokens":900,"version":1}"""))
            }
            val decoding: (RecordedRequest, Socket) -> Unit = { request, socket ->
                val isFull = request.header("Kv-Source") == null
                if (isFull) Other.FULL.respond(request, socket) else Pause.BETWEEN_EVENTS.respond(request, socket, 0)
            }
            val engines = listOf(prefilling) + List(3) { ScriptedServer(decoding) }
            val kind = RouteKind.Streaming(isResumable, pauseTarget = 50.milliseconds)
            ForwardFixture(kind, engines, stages, TIMEOUT).use { node ->
                val response = node.exchange(longPrompt("r1"))
                assertTrue(Pause.BETWEEN_EVENTS.isWhole(response), "resumable $isResumable: $response")
            }
        }
    }

    // Guards against a second run of a request that may not be repeated, after one beside its prefill failed (TWICE).
    @Test
    fun `a request that may not run twice does not run again after its prefill was overdue`() {
        val prefilling = ScriptedServer { request, socket ->
            Thread.sleep(PAUSE_MILLIS)
            socket.writeText(responseTo(request, "200 OK", """{"kv_handle":"h1","tokens":900,"version":1}"""))
        }
        val decoding = List(3) { ScriptedServer(Other.RESETS.respond) }
        val stages = listOf(EngineStage.PREFILL) + decoding.map { EngineStage.DECODE }
        val kind = RouteKind.Streaming(resumable = false, pauseTarget = 50.milliseconds)
        ForwardFixture(kind, listOf(prefilling) + decoding, stages, TIMEOUT).use { node ->
            val response = node.exchange(longPrompt("r1"))

            assertTrue(response.startsWith("HTTP/1.1 502"), response)
            assertEquals(1, decoding.sumOf { it.requests.size })
        }
    }

    // Guards against waiting for the whole deadline for a server that has ended without a word.
    @Test
    fun `a server that stays silent is left in time, and the connection to it is closed`() {
        val closed = CountDownLatch(1)
        val silent = onlyFirst({ _, socket -> socket.awaitClose(closed) }) { request, socket ->
            Pause.BETWEEN_EVENTS.respond(request, socket, pauseMillis = 0)
        }
        ForwardFixture(resumable, listOf(ScriptedServer(silent), ScriptedServer(silent)), timeout = TIMEOUT).use {
            val took = measureTime { assertTrue(Pause.BETWEEN_EVENTS.isWhole(it.exchange(longRequest("r1")))) }

            assertTrue(took < TIMEOUT / 2, "$took")
            assertTrue(closed.await(CLOSE_MILLIS, TimeUnit.MILLISECONDS), "the silent server still has the request")
        }
    }

    // Guards against leaving too late where the second server is silent, too.
    @Test
    fun `two servers that stay silent are left in time`() {
        val seen = ConcurrentHashMap.newKeySet<ScriptedServer>()
        lateinit var servers: List<ScriptedServer>
        servers = List(3) { i ->
            ScriptedServer { request, socket ->
                seen += servers[i]
                if (seen.size == 3) socket.writeText(responseTo(request, "200 OK", BODY))
            }
        }
        ForwardFixture(RouteKind.Idempotent, servers, timeout = TIMEOUT, attempts = 3).use { node ->
            assertTrue(Pause.BEFORE_HEAD.isWhole(node.exchange(longRequest("r1"))))
        }
    }

    // Guards against a stream that two servers write, and against work for a request that goes on elsewhere (TWICE).
    @Test
    fun `when the first server goes on, the other one's work is cancelled`() {
        val cancelled = CountDownLatch(1)
        val script = onlyFirst(pausing(Pause.BETWEEN_EVENTS)) { request, socket ->
            socket.writeText(streamHead(request))
            socket.awaitClose(cancelled)
        }
        ForwardFixture(resumable, listOf(ScriptedServer(script), ScriptedServer(script)), timeout = TIMEOUT).use {
            assertTrue(Pause.BETWEEN_EVENTS.isWhole(it.exchange(longRequest("r1"))))
            assertTrue(cancelled.await(CLOSE_MILLIS, TimeUnit.MILLISECONDS), "the other server still has the request")
        }
    }

    @Test
    fun `a request that may not run twice is sent to one server only`() {
        val script = onlyFirst(pausing(Pause.BEFORE_HEAD)) { request, socket ->
            socket.writeText(responseTo(request, "200 OK", "second"))
        }
        val servers = listOf(ScriptedServer(script), ScriptedServer(script))
        ForwardFixture(RouteKind.NonIdempotent, servers, timeout = TIMEOUT).use { node ->
            assertTrue(Pause.BEFORE_HEAD.isWhole(node.exchange(longRequest("r1"))))
            assertEquals(1, servers.sumOf { it.requests.size })
        }
    }

    // Guards against giving up a server because its caller reads slowly.
    @Test
    fun `a stream whose caller pauses stays with its server`() {
        val script: (RecordedRequest, Socket) -> Unit = { request, socket ->
            socket.writeText(streamHead(request))
            repeat(LARGE_EVENTS) { socket.writeText(chunk("id: ${it + 1}\ndata: ${"x".repeat(LARGE_EVENT)}\n\n")) }
            socket.writeText(LAST_CHUNK)
        }
        val servers = List(2) { ScriptedServer(script) }
        ForwardFixture(resumable, servers, timeout = TIMEOUT).use { node ->
            node.connect().use { caller ->
                caller.writeText(longRequest("r1"))
                Thread.sleep(PAUSE_MILLIS)
                val response = caller.getInputStream().readAllBytes().decodeToString()

                assertTrue(response.endsWith(LAST_CHUNK))
                assertEquals(LARGE_EVENTS, Regex("id: \\d+\n").findAll(response).count())
            }
            assertEquals(1, servers.sumOf { it.requests.size })
        }
    }

    // Guards against a refusal whose body comes so slowly that the request waits for it, not for another server.
    @Test
    fun `the body of a refusal is not waited for`() {
        val refusing: (RecordedRequest, Socket) -> Unit = { request, socket ->
            socket.writeText(
                "HTTP/1.1 503 Busy\r\nRequest-Id: ${request.id}\r\nNot-Executed: 1\r\nContent-Length: 1000\r\n\r\n",
            )
            runCatching {
                repeat(TRICKLED_BYTES) {
                    Thread.sleep(TRICKLE_MILLIS)
                    socket.writeText("x")
                }
            }
        }
        val script = onlyFirst(refusing) { request, socket -> socket.writeText(responseTo(request, "200 OK", BODY)) }
        ForwardFixture(RouteKind.NonIdempotent, listOf(ScriptedServer(script), ScriptedServer(script))).use { node ->
            val took = measureTime { assertTrue(Pause.BEFORE_HEAD.isWhole(node.exchange(longRequest("r1")))) }

            assertTrue(took < 1.seconds, "$took")
        }
    }

    private fun isDeliveredWhole(pause: Pause, other: Other): Boolean {
        val script = onlyFirst(pausing(pause), other.respond)
        val servers = List(if (other == Other.ABSENT) 1 else 2) { ScriptedServer(script) }
        if (other == Other.REFUSES_CONNECTIONS) servers.last().close()
        return ForwardFixture(pause.kind, servers, timeout = TIMEOUT).use { node ->
            pause.isWhole(node.exchange(longRequest("r1")))
        }
    }

    private fun pausing(pause: Pause): (RecordedRequest, Socket) -> Unit =
        { request, socket -> pause.respond(request, socket, PAUSE_MILLIS) }

    /** A script that several servers share: [first] for the first of them that gets a request, then [others]. */
    private fun onlyFirst(
        first: (RecordedRequest, Socket) -> Unit,
        others: (RecordedRequest, Socket) -> Unit,
    ): (RecordedRequest, Socket) -> Unit {
        val seen = ConcurrentHashMap.newKeySet<String>()
        return { request, socket -> if (seen.add(request.id)) first(request, socket) else others(request, socket) }
    }

    private fun Socket.awaitClose(closed: CountDownLatch) {
        runCatching { getInputStream().read() }
        closed.countDown()
    }

    private fun longRequest(id: String) = request(id, deadlineMillis = TIMEOUT.inWholeMilliseconds)

    private fun longPrompt(id: String) = request(
        id,
        more = arrayOf("Token-Count: 900,20", "Prompt-Prefix: aa:800,bb:100", "Model: m"),
        deadlineMillis = TIMEOUT.inWholeMilliseconds,
    )

    /** Where the first server pauses in its response. */
    enum class Pause(val kind: RouteKind) {
        BEFORE_HEAD(RouteKind.Idempotent),
        WITHIN_BODY(RouteKind.Idempotent),
        WITHIN_CHUNKED_BODY(RouteKind.Idempotent),
        WITHIN_UNFRAMED_BODY(RouteKind.Idempotent),
        BEFORE_FIRST_EVENT(RouteKind.Streaming(resumable = true, pauseTarget = 50.milliseconds)),
        BETWEEN_EVENTS(RouteKind.Streaming(resumable = true, pauseTarget = 50.milliseconds)),
        ;

        /** Writes the whole response to [request] with a pause of [pauseMillis]. */
        fun respond(request: RecordedRequest, socket: Socket, pauseMillis: Long) {
            val unframed = "HTTP/1.1 200 OK\r\nRequest-Id: ${request.id}\r\nServer-Stamp: proof\r\n"
            val half = BODY.take(BODY.length / 2)
            val rest = BODY.drop(half.length)
            val (before, after) = when (this) {
                BEFORE_HEAD -> "" to responseTo(request, "200 OK", BODY)
                WITHIN_BODY -> responseTo(request, "200 OK", BODY).dropLast(rest.length) to rest
                WITHIN_CHUNKED_BODY ->
                    unframed + "Transfer-Encoding: chunked\r\n\r\n" + chunk(half) to chunk(rest) + LAST_CHUNK
                WITHIN_UNFRAMED_BODY -> "$unframed\r\n$half" to rest
                BEFORE_FIRST_EVENT -> streamHead(request) to chunk(event(1) + event(2)) + LAST_CHUNK
                BETWEEN_EVENTS -> streamHead(request) + chunk(event(1)) to chunk(event(2)) + LAST_CHUNK
            }
            if (before.isNotEmpty()) socket.writeText(before)
            Thread.sleep(pauseMillis)
            socket.writeText(after)
            if (this == WITHIN_UNFRAMED_BODY) socket.close()
        }

        fun isWhole(response: String): Boolean = when (kind) {
            is RouteKind.Streaming ->
                ids(response) == listOf(1, 2) && response.endsWith(LAST_CHUNK)
            else -> response.startsWith("HTTP/1.1 200") && response.substringAfter("\r\n\r\n") == BODY
        }

        private fun ids(response: String): List<Int> =
            Regex("id: (\\d+)\ndata").findAll(response).map { it.groupValues[1].toInt() }.toList()
    }

    /** What the other server of the service does with the request. */
    enum class Other(val respond: (RecordedRequest, Socket) -> Unit) {
        ABSENT({ _, _ -> }),
        FULL({ request, socket ->
            socket.writeText(responseTo(request, "503 Service Unavailable", "", "Not-Executed: 1"))
        }),
        MISDIRECTED({ request, socket -> socket.writeText(responseTo(request, "421 Misdirected", "")) }),
        REFUSES_CONNECTIONS({ _, _ -> }),
        RESETS({ _, socket -> socket.reset() }),
        FAILS({ request, socket -> socket.writeText(responseTo(request, "500 Oops", "no")) }),
        BREAKS_OFF({ request, socket ->
            socket.writeText(responseTo(request, "200 OK", "whole").dropLast(2))
            socket.close()
        }),
        SILENT({ _, _ -> }),
        SILENT_AFTER_HEAD({ request, socket -> socket.writeText(streamHead(request)) }),
    }

    private companion object {
        const val BODY = "a body in two halves"

        /** Longer than an attempt waits before another server is asked too. */
        const val PAUSE_MILLIS = 1_500L
        const val CLOSE_MILLIS = 400L
        val TIMEOUT = 6.seconds
        const val LARGE_EVENTS = 200
        const val LARGE_EVENT = 100_000
        const val TRICKLED_BYTES = 50
        const val TRICKLE_MILLIS = 50L
    }
}
