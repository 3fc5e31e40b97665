package org.persimmonrelay.entry

import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.persimmonrelay.engine.EngineTimeouts
import org.persimmonrelay.standin.StandInEngineSettings
import org.persimmonrelay.standin.TokenScript
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class GracefulShutdownTest {
    @Test
    fun `a node that stops under load completes open requests and refuses new ones as not run`() = withLoad { f ->
        val running = (1..30).map { n -> async { f.streamed("prompt $n") } }
        eventually { f.entry.openRequests == 30 && f.standIns.sumOf { it.runningStreams } == 30 }
        val stopping = launch { f.entry.stop(30.seconds) }
        eventually { f.entry.isDraining }

        val refused = f.chat(EntryFixture.body("late"))
        val ready = f.http.get("${f.url}/readyz").status.value

        assertEquals(503, refused.status.value)
        assertEquals("not-run", refused.headers["X-Outcome"])
        assertEquals("close", refused.headers["Connection"])
        assertTrue("node_leaving" in refused.bodyAsText())
        assertEquals(503, ready)
        assertEquals((1..30).map { expected("prompt $it") }, running.awaitAll())
        stopping.join()
        assertEquals(30, f.standIns.sumOf { it.startedAttempts })
    }

    @Test
    fun `requests sent while a node stops are completed or refused as not run`() = withLoad { f ->
        val completed = AtomicInteger()
        val refused = AtomicInteger()
        val callers = List(8) { caller -> launch { f.callUntilClosed(caller, completed, refused) } }
        eventually { completed.get() > 8 }

        f.entry.stop(30.seconds)

        callers.forEach { it.join() }
        assertTrue(refused.get() > 0, "no request was refused")
        assertEquals(completed.get().toLong(), f.standIns.sumOf { it.startedAttempts })
    }

    @Test
    fun `a draining backend server finishes its requests and gets no new ones`() = withLoad { f ->
        val running = (1..20).map { n -> async { f.streamed("prompt $n") } }
        eventually { f.standIns.sumOf { it.runningStreams } == 20 }
        f.catalog.change { view -> view.copy(servers = view.servers.map { it.copy(drain = it.name == "engine-0") }) }
        val startedBefore = f.standIns[0].startedAttempts
        val later = (21..40).map { n -> async { f.streamed("prompt $n") } }

        val texts = (running + later).awaitAll()

        assertEquals((1..40).map { expected("prompt $it") }, texts)
        assertEquals(startedBefore, f.standIns[0].startedAttempts)
        assertEquals(40, f.standIns.sumOf { it.startedAttempts })
    }

    @Test
    fun `a node that is shutting down closes a persistent connection when it refuses a request`() = withLoad { f ->
        val running = async { f.streamed("prompt") }
        eventually { f.entry.openRequests == 1 }
        val stopping = launch { f.entry.stop(30.seconds) }
        eventually { f.entry.isDraining }

        val closed =
            withContext(Dispatchers.IO) {
                RawConnection(f.port).use {
                    it.post("/v1/chat/completions", EntryFixture.KEY, EntryFixture.body("late"))
                    it.readResponse().first to it.isClosed()
                }
            }

        assertEquals(503 to true, closed)
        assertEquals(expected("prompt"), running.await())
        stopping.join()
    }

    /** Sends one request after the other until the node is gone; fails on a cut one. */
    private suspend fun EntryFixture.callUntilClosed(caller: Int, completed: AtomicInteger, refused: AtomicInteger) {
        var n = 0
        while (true) {
            val prompt = "caller $caller request ${n++}"
            val response =
                try {
                    chat(EntryFixture.body(prompt, stream = true))
                } catch (_: IOException) {
                    return
                }
            if (response.headers["X-Outcome"] == "not-run") {
                refused.incrementAndGet()
                continue
            }
            assertEquals(expected(prompt), SseText.of(response.bodyAsText()))
            completed.incrementAndGet()
        }
    }

    private suspend fun EntryFixture.streamed(prompt: String): String =
        SseText.of(chat(EntryFixture.body(prompt, stream = true)).bodyAsText())

    private fun expected(prompt: String): String {
        val rendered = EntryFixture.rendered(prompt)
        return TokenScript.output(rendered, TokenScript.naturalLength(rendered))
    }

    private fun withLoad(test: suspend CoroutineScope.(EntryFixture) -> Unit) = EntryFixture(
        timeouts = EngineTimeouts(progress = 5.seconds),
        engines = 2,
        engineSettings = { StandInEngineSettings(it, listOf("m"), outputTokensPerSecond = 20.0) },
    ).run(test)
}
