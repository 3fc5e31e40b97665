package org.persimmonrelay.forward

import org.persimmonrelay.backend.BackendEvent
import org.persimmonrelay.backend.EngineStage
import org.persimmonrelay.forward.ForwardFixture.Companion.request
import org.persimmonrelay.route.RouteKind
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

/** Servers on loopback that say in their responses that they leave, while their entries still say ready. */
class LeavingServerTest {
    private val resumable = RouteKind.Streaming(resumable = true, pauseTarget = 100.milliseconds)
    private val staying = { request: RecordedRequest, socket: Socket ->
        socket.writeText(responseTo(request, "200 OK", "staying"))
    }

    // Guards against requests to a server that has said in its answers that it leaves (DRAIN).
    @Test
    fun `whatever response says that its server leaves, that server gets no further requests`() {
        val failed = Notice.entries.filterNot { notice ->
            val leaving = ScriptedServer { request, socket -> notice.respond(request, socket) }
            val other = ScriptedServer(if (notice.kind is RouteKind.Streaming) ::stream else staying)
            ForwardFixture(notice.kind, listOf(leaving, other)).use { node ->
                node.leave(other)
                node.exchange(request("r0"))
                repeat(REQUESTS) { assertTrue(node.exchange(request("r1-$it")).startsWith("HTTP/1.1 503"), "$notice") }
                node.announce(other, startedAtMillis = 2)
                repeat(REQUESTS) { assertTrue(node.exchange(request("r2-$it")).startsWith("HTTP/1.1 200"), "$notice") }
                leaving.requests.size == 1
            }
        }

        assertEquals(emptyList(), failed)
    }

    // Guards against the same after a row that is older than the answer, and against a new run of it that gets nothing.
    @Test
    fun `an entry that says ready does not bring the server back, a new run of it does`() {
        val leaving = ScriptedServer(Notice.ANSWER.respond)
        ForwardFixture(RouteKind.Idempotent, listOf(leaving)).use { node ->
            node.exchange(request("r1"))
            node.announce(leaving)
            assertTrue(node.exchange(request("r2")).startsWith("HTTP/1.1 503"))
            assertEquals(1, leaving.requests.size)

            node.announce(leaving, startedAtMillis = 2)
            assertTrue(node.exchange(request("r3")).startsWith("HTTP/1.1 200"))
        }
    }

    // Guards against requests that were under way to the server, or repeated, when it said that it leaves (DRAIN).
    @Test
    fun `no request that is sent after a caller has the answer reaches the server, however many there are`() {
        val isLeaving = AtomicInteger()
        val late = CopyOnWriteArrayList<String>()
        val told = CopyOnWriteArrayList<String>()
        val leaving = ScriptedServer { request, socket ->
            if (request.id.startsWith("late")) late += request.id
            Thread.sleep(WORK_MILLIS)
            val notice = if (isLeaving.get() > 0) arrayOf("Server-Leaving: 1") else emptyArray()
            socket.writeText(responseTo(request, "200 OK", if (notice.isEmpty()) "ready" else "leaving", *notice))
        }
        ForwardFixture(RouteKind.Idempotent, listOf(leaving, ScriptedServer(staying))).use { node ->
            val callers = List(CALLERS) { number ->
                thread {
                    repeat(BURST_REQUESTS) {
                        val id = if (told.isEmpty()) "early-$number-$it" else "late-$number-$it"
                        if (node.exchange(request(id)).endsWith("leaving")) told += id
                        if (it == BURST_REQUESTS / 4) isLeaving.incrementAndGet()
                    }
                }
            }
            callers.forEach { it.join() }
        }

        assertTrue(told.isNotEmpty())
        assertEquals(emptyList(), late)
    }

    // Guards against new prefills, decodes and retries at engines that leave (DRAIN).
    @Test
    fun `engines that say that they leave prefill and decode no further prompts`() {
        val stages = List(2) { EngineStage.PREFILL } + List(2) { EngineStage.DECODE }
        val engines = stages.map { ScriptedServer { request, socket -> respondAsEngine(request, socket) } }
        ForwardFixture(resumable, engines, stages).use { node ->
            assertTrue(node.exchange(prompt("r1")).contains("id: 1"))
            assertTrue(node.exchange(prompt("r2")).contains("id: 1"))
            assertTrue(node.exchange(prompt("r3")).startsWith("HTTP/1.1 503"))
        }

        assertTrue(engines.all { it.requests.size <= 1 }, engines.map { it.requests.size }.toString())
    }

    @Test
    fun `an engine says that it leaves in a report of its cache`() {
        val report = """{"epoch":1,"next":1,"lost":false,"events":[]}"""
        val engine = ScriptedServer { request, socket ->
            socket.writeText(responseTo(request, "200 OK", report, "Server-Leaving: 1"))
        }
        ForwardFixture(resumable, listOf(engine), listOf(EngineStage.DECODE)).use { node ->
            node.awaitEngineReports(1)
            node.awaitEvents(BackendEvent.SERVER_LEAVING_HEARD, 1)

            assertTrue(node.exchange(prompt("r1")).startsWith("HTTP/1.1 503"))
        }
    }

    // Guards against losing a sound server by bytes that are not its word.
    @Test
    fun `bytes that are not the server's response to a request do not say that it leaves`() {
        NoNotice.entries.forEach { other ->
            val sound = ScriptedServer { request, socket -> other.respond(request, socket) }
            ForwardFixture(RouteKind.Idempotent, listOf(sound)).use { node ->
                repeat(2) { node.exchange(request("r$it")) }

                assertEquals(setOf("r0", "r1"), sound.requests.map { it.id }.toSet(), "$other")
            }
        }
    }

    private fun stream(request: RecordedRequest, socket: Socket) =
        socket.writeText(streamHead(request) + chunk(event(1)) + LAST_CHUNK)

    private fun respondAsEngine(request: RecordedRequest, socket: Socket) = when (request.header("Stage")) {
        "prefill" -> {
            val handle = """{"kv_handle":"h1","tokens":9000,"version":1}"""
            socket.writeText(responseTo(request, "200 OK", handle, "Server-Leaving: 1"))
        }
        else -> Notice.STREAM.respond(request, socket)
    }

    private fun prompt(id: String) =
        request(id, more = arrayOf("Token-Count: 9000,20", "Prompt-Prefix: aa:8000,own-$id:1000", "Model: m"))

    /** A response that says that its server leaves. */
    enum class Notice(val kind: RouteKind, val respond: (RecordedRequest, Socket) -> Unit) {
        ANSWER(RouteKind.Idempotent, { request, socket ->
            socket.writeText(responseTo(request, "200 OK", "leaving", "Server-Leaving: 1"))
        }),
        ERROR(RouteKind.NonIdempotent, { request, socket ->
            socket.writeText(responseTo(request, "500 Oops", "", "Server-Leaving: 1"))
        }),
        REFUSAL(RouteKind.NonIdempotent, { request, socket ->
            val head = "HTTP/1.1 503 Busy\r\nRequest-Id: ${request.id}\r\nNot-Executed: 1\r\n"
            socket.writeText("${head}Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n")
        }),
        STREAM(RouteKind.Streaming(resumable = true, pauseTarget = 100.milliseconds), { request, socket ->
            val head = streamHead(request).replaceFirst("\r\n", "\r\nServer-Leaving: 1\r\n")
            socket.writeText(head + chunk(event(1)) + LAST_CHUNK)
        }),
        BROKEN_OFF(RouteKind.NonIdempotent, { request, socket ->
            socket.writeText(responseTo(request, "200 OK", "leaving", "Server-Leaving: 1").dropLast(2))
            socket.reset()
        }),
        CLOSING(RouteKind.Idempotent, { request, socket ->
            socket.writeText(responseTo(request, "200 OK", "leaving", "Server-Leaving: 1", "Connection: close"))
            socket.close()
        }),
        LATE_RESPONSE(RouteKind.Idempotent, { request, socket ->
            val late = "HTTP/1.1 200 OK\r\nRequest-Id: earlier\r\nServer-Stamp: s\r\nServer-Leaving: 1\r\n"
            socket.writeText("${late}Content-Length: 0\r\n\r\n" + responseTo(request, "200 OK", "own"))
        }),
    }

    /** Bytes that do not say that the server to which a request was sent leaves. */
    enum class NoNotice(val respond: (RecordedRequest, Socket) -> Unit) {
        NO_RESPONSE({ _, socket ->
            socket.writeText("Server-Leaving: 1\r\n\r\n")
            socket.close()
        }),
        WITHOUT_ID({ _, socket ->
            socket.writeText("HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n")
        }),
        AT_ANOTHER_SERVER({ request, socket ->
            socket.writeText(responseTo(request, "421 Misdirected", "", "Not-Executed: 1", "Server-Leaving: 1"))
        }),
        NOT_LEAVING({ request, socket ->
            socket.writeText(responseTo(request, "200 OK", "staying", "Server-Leaving: 0"))
        }),
        WITHIN_BODY({ request, socket ->
            socket.writeText(responseTo(request, "200 OK", "HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\n\r\n"))
        }),
    }

    private companion object {
        const val REQUESTS = 12
        const val CALLERS = 16
        const val BURST_REQUESTS = 40
        const val WORK_MILLIS = 5L
    }
}
