package org.persimmonrelay.entry

import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.withContext
import org.persimmonrelay.catalog.KeyState
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.routing.DispatchAction
import org.persimmonrelay.routing.DispatchEvent
import org.persimmonrelay.routing.Dispatcher
import org.persimmonrelay.standin.StandInEngineSettings
import org.persimmonrelay.standin.TokenScript
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class EntryRefusalTest {
    @Test
    fun `each kind of invalid request gets its own error and reaches no engine`() = EntryFixture().run { f ->
        val long = "x".repeat(200_000)
        f.chat("{not json").refused(400, "invalid_request_error")
        f.chat("""{"model":"planner-llm"}""").refused(400, "invalid_request_error")
        f.chat("""{"model":"planner-llm","messages":[]}""").refused(400, "invalid_request_error")
        f.chat(IMAGE).refused(400, "invalid_request_error")
        f.chat(EntryFixture.body("hi").replace("planner-llm", "nobody")).refused(404, "model_not_found")
        f.chat(EntryFixture.body(long)).refused(400, "context_length_exceeded")
        f.chat(EntryFixture.body("hi"), key = "wrong").refused(401, "invalid_api_key")
        f.chat(EntryFixture.body("hi"), key = null).refused(401, "invalid_api_key")

        assertEquals(0, f.standIns.single().startedAttempts)
        eventually { f.entry.openRequests == 0 }
    }

    @Test
    fun `content in text parts is joined`() = EntryFixture().run { f ->
        val parts = """[{"type":"text","text":"one "},{"type":"text","text":"two"}]"""
        val body = """{"model":"planner-llm","messages":[{"role":"user","content":$parts}]}"""

        val response = f.chat(body).bodyAsText()

        val prompt = EntryFixture.rendered("one two")
        assertTrue(TokenScript.output(prompt, TokenScript.naturalLength(prompt)) in response)
    }

    @Test
    fun `a body over the limit is refused with and without a Content-Length`() =
        EntryFixture(EntrySettings(maxBodyBytes = 1_000)).run { f ->
            f.chat(EntryFixture.body("x".repeat(2_000))).refused(413, "body_too_large")
            val chunk = "x".repeat(2_000)
            val response =
                raw(f) {
                    send(CHAT_HEAD)
                    send("Transfer-Encoding: chunked\r\n\r\n7d0\r\n$chunk\r\n0\r\n\r\n")
                    readResponse()
                }
            assertEquals(413, response.first)
        }

    @Test
    fun `a request whose body arrives too slowly is refused`() =
        EntryFixture(EntrySettings(bodyTimeout = 100.milliseconds)).run { f ->
            val response =
                raw(f) {
                    send(CHAT_HEAD)
                    send("Content-Length: 100\r\n\r\n{")
                    readResponse()
                }

            assertEquals(408, response.first)
            eventually { f.entry.openRequests == 0 }
        }

    @Test
    fun `oversized request headers are rejected and the entry still serves requests`() = EntryFixture().run { f ->
        val flood = (1..2_000).joinToString("") { "X-Flood-$it: ${"y".repeat(50)}\r\n" }

        val status =
            raw(f) {
                send("GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${EntryFixture.KEY}\r\n$flood\r\n")
                awaitLine("HTTP/1.1").split(' ')[1].toInt()
            }

        assertTrue(status in 400..499, "status $status")
        assertEquals(200, f.chat(EntryFixture.body("hi")).status.value)
    }

    @Test
    fun `a key withdrawn while the connection is open is refused at the next request`() = EntryFixture().run { f ->
        val statuses =
            raw(f) {
                post(CHAT, EntryFixture.KEY, EntryFixture.body("hi"))
                val before = readResponse().first
                f.catalog.setKeyState(EntryFixture.KEY, KeyState.WITHDRAWN)
                post(CHAT, EntryFixture.KEY, EntryFixture.body("hi"))
                before to readResponse().first
            }

        assertEquals(200 to 401, statuses)
        assertEquals(1, f.standIns.single().startedAttempts)
    }

    @Test
    fun `a queued request is refused without being run when its key is withdrawn`() {
        val events = CopyOnWriteArrayList<DispatchEvent>()
        EntryFixture(EntrySettings(keyCheckInterval = 10.milliseconds), dispatcher = {
            NeverDispatcher(events)
        }).run { f ->
            val waiting = async { f.chat(EntryFixture.body("hi")) }
            eventually { events.any { it is DispatchEvent.Arrived } }

            f.catalog.setKeyState(EntryFixture.KEY, KeyState.WITHDRAWN)

            val response = waiting.await()
            response.refused(401, "invalid_api_key")
            assertEquals("not-run", response.headers["X-Outcome"])
            assertEquals(0, f.standIns.single().startedAttempts)
            eventually { events.any { it is DispatchEvent.Withdrawn } }
        }
    }

    @Test
    fun `a running response continues when its key is withdrawn and ends at once when the key is cut`() =
        EntryFixture(engineSettings = { slow(it) }).run { f ->
            val errorLine =
                raw(f) {
                    post(CHAT, EntryFixture.KEY, EntryFixture.body("hi", stream = true))
                    awaitLine("content")
                    f.catalog.setKeyState(EntryFixture.KEY, KeyState.WITHDRAWN)
                    repeat(20) { awaitLine("content") }
                    f.catalog.setKeyState(EntryFixture.KEY, KeyState.CUT)
                    awaitLine("error")
                }

            assertTrue("withdrawn" in errorLine)
            eventually { f.standIns.single().runningStreams == 0 && f.entry.openRequests == 0 }
        }

    @Test
    fun `a running response ends when the grace period of its withdrawn key is over`() {
        val settings = EntrySettings(keyCheckInterval = 10.milliseconds, withdrawnKeyGrace = 100.milliseconds)
        EntryFixture(settings, engineSettings = { slow(it) }).run { f ->
            val line =
                raw(f) {
                    post(CHAT, EntryFixture.KEY, EntryFixture.body("hi", stream = true))
                    awaitLine("content")
                    f.catalog.setKeyState(EntryFixture.KEY, KeyState.WITHDRAWN)
                    awaitLine("error")
                }

            assertTrue("outcome_unknown" in line)
        }
    }

    @Test
    fun `a caller that disconnects releases the engine and the entry`() =
        EntryFixture(engineSettings = { slow(it) }).run { f ->
            raw(f) {
                post(CHAT, EntryFixture.KEY, EntryFixture.body("hi", stream = true))
                awaitLine("content")
            }
            raw(f) { post(CHAT, EntryFixture.KEY, EntryFixture.body("whole")) }

            eventually { f.standIns.single().cancelledStreams + f.standIns.single().runningStreams > 0 }
            eventually { f.standIns.single().runningStreams == 0 && f.entry.openRequests == 0 }
            assertTrue(f.usage.any { it.outputTokens in 1..<SLOW_TOKENS })
        }

    @Test
    fun `a refusal has a Retry-After header`() = EntryFixture().run { f ->
        f.catalog.change { it.copy(servers = emptyList()) }

        val response = f.chat(EntryFixture.body("hi"))

        response.refused(503, "no_backend_server")
        assertEquals("5", response.headers["Retry-After"])
    }

    @Test
    fun `the caller's key is not sent to engines`() = EntryFixture().run { f ->
        f.chat(EntryFixture.body("hi"))

        val headers = f.engineServers.single().receivedHeaders
        assertTrue(headers.isNotEmpty())
        assertTrue(headers.none { EntryFixture.KEY in it || "authorization" in it.lowercase() }, "$headers")
    }

    private suspend fun HttpResponse.refused(status: Int, code: String) {
        val text = bodyAsText()
        assertEquals(status, this.status.value, text)
        assertTrue("\"code\":\"$code\"" in text, text)
    }

    private suspend fun <T> raw(f: EntryFixture, block: RawConnection.() -> T): T =
        withContext(Dispatchers.IO) { RawConnection(f.port).use(block) }

    private fun slow(name: String) =
        StandInEngineSettings(name, listOf("m"), outputTokensPerSecond = 100.0, naturalOutputTokens = { SLOW_TOKENS })

    private class NeverDispatcher(private val seen: MutableList<DispatchEvent>) : Dispatcher {
        override fun on(event: DispatchEvent, now: Moment): List<DispatchAction> {
            seen += event
            return emptyList()
        }
    }

    private companion object {
        const val CHAT = "/v1/chat/completions"
        const val SLOW_TOKENS = 4_000
        const val CHAT_HEAD = "POST $CHAT HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${EntryFixture.KEY}\r\n"
        const val PICTURE = """{"type":"image_url","image_url":{"url":"x"}}"""
        const val IMAGE = """{"model":"planner-llm","messages":[{"role":"user","content":[$PICTURE]}]}"""
    }
}
