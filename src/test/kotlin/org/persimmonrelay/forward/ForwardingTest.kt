package org.persimmonrelay.forward

import org.persimmonrelay.forward.ForwardFixture.Companion.RESET
import org.persimmonrelay.forward.ForwardFixture.Companion.request
import org.persimmonrelay.route.RouteKind
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class ForwardingTest {
    private val good = ScriptedServer { request, socket -> socket.writeText(answerTo(request, "200 OK", "fine")) }

    @Test
    fun `method, target, headers and body arrive unchanged, and the key does not`() {
        ForwardFixture(RouteKind.NonIdempotent, listOf(good)).use { node ->
            val answer = node.exchange(
                request("r1", body = "a=b", more = arrayOf("X-Own: 7", "Tenant: forged", "Kv-Hold: forged")),
            )

            val seen = good.requests.single()
            assertTrue(answer.startsWith("HTTP/1.1 200"), answer)
            assertTrue(answer.endsWith("\r\n\r\nfine"), answer)
            assertEquals("POST /a/x?q=1 HTTP/1.1", seen.line)
            assertContentEquals("a=b".encodeToByteArray(), seen.body)
            assertEquals("7", seen.header("X-Own"))
            assertEquals("w1", seen.header("Tenant"))
            assertEquals("s0", seen.header("Expect-Instance"))
            assertNull(seen.header("Authorization"))
            assertNull(seen.header("Kv-Hold"))
            assertTrue(seen.header("Deadline-Ms")!!.toInt() in 1..2_500)
            assertEquals(listOf("w1"), node.usage.map { it.value })
        }
    }

    @Test
    fun `a body in chunks arrives whole`() {
        ForwardFixture(RouteKind.NonIdempotent, listOf(good)).use { node ->
            val head = request("r1", body = "").replace("Content-Length: 0", "Transfer-Encoding: chunked")

            node.exchange(head + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")

            assertContentEquals("abcde".encodeToByteArray(), good.requests.single().body)
        }
    }

    @Test
    fun `a request that may not be repeated is sent once and its loss is not called not run`() {
        val broken = ScriptedServer { _, socket -> socket.reset() }
        ForwardFixture(RouteKind.NonIdempotent, listOf(broken, broken)).use { node ->
            val answer = node.exchange(request("r1"))

            assertTrue(answer.startsWith("HTTP/1.1 502"), answer)
            assertEquals(1, broken.requests.size)
        }
    }

    @Test
    fun `a server that says not executed leads to another`() {
        val full = ScriptedServer { request, socket ->
            socket.writeText(answerTo(request, "503 Service Unavailable", "", "Not-Executed: 1"))
        }
        ForwardFixture(RouteKind.NonIdempotent, listOf(full, good)).use { node ->
            repeat(4) { assertTrue(node.exchange(request("r$it")).startsWith("HTTP/1.1 200")) }
        }
    }

    @Test
    fun `a 503 without that word may have run and is not passed on as a promise`() {
        val odd =
            ScriptedServer { request, socket -> socket.writeText(answerTo(request, "503 Service Unavailable", "x")) }
        ForwardFixture(RouteKind.NonIdempotent, listOf(odd)).use { node ->
            assertTrue(node.exchange(request("r1")).startsWith("HTTP/1.1 502"))
        }
    }

    @Test
    fun `an idempotent request is repeated after a failure and keeps the first whole answer`() {
        val failing = ScriptedServer { request, socket -> socket.writeText(answerTo(request, "500 Oops", "no")) }
        ForwardFixture(RouteKind.Idempotent, listOf(failing, good)).use { node ->
            repeat(4) { assertTrue(node.exchange(request("r$it")).startsWith("HTTP/1.1 200")) }
        }
    }

    @Test
    fun `a server's own failure is passed on unchanged when nothing better comes`() {
        val failing = ScriptedServer { request, socket -> socket.writeText(answerTo(request, "500 Oops", "no")) }
        ForwardFixture(RouteKind.NonIdempotent, listOf(failing)).use { node ->
            val answer = node.exchange(request("r1"))

            assertTrue(answer.startsWith("HTTP/1.1 500"), answer)
            assertTrue("proof" in answer && answer.endsWith("no"), answer)
        }
    }

    @Test
    fun `a late answer to another request is passed over`() {
        val server = ScriptedServer { request, socket ->
            socket.writeText(
                "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: x\r\nContent-Length: 5\r\n\r\nwrong",
            )
            socket.writeText(answerTo(request, "200 OK", "right"))
        }
        ForwardFixture(RouteKind.NonIdempotent, listOf(server)).use { node ->
            assertTrue(node.exchange(request("r1")).endsWith("right"))
        }
    }

    @Test
    fun `bytes behind an answer never reach the next request`() {
        val server = ScriptedServer { request, socket ->
            socket.writeText(answerTo(request, "200 OK", "fine") + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
        }
        ForwardFixture(RouteKind.NonIdempotent, listOf(server)).use { node ->
            repeat(5) { assertTrue(node.exchange(request("r$it")).endsWith("fine")) }
        }
    }

    @Test
    fun `an answer without the server's proof is not passed on as a success`() {
        val server = ScriptedServer { request, socket ->
            socket.writeText("HTTP/1.1 200 OK\r\nRequest-Id: ${request.id}\r\nContent-Length: 1\r\n\r\nx")
        }
        ForwardFixture(RouteKind.NonIdempotent, listOf(server)).use { node ->
            assertTrue(node.exchange(request("r1")).startsWith("HTTP/1.1 502"))
        }
    }

    @Test
    fun `an answer that is torn is not passed on`() {
        val server = ScriptedServer { request, socket ->
            socket.writeText(answerTo(request, "200 OK", "whole").dropLast(2))
            socket.close()
        }
        ForwardFixture(RouteKind.NonIdempotent, listOf(server)).use { node ->
            assertTrue(node.exchange(request("r1")).startsWith("HTTP/1.1 502"))
        }
    }

    @Test
    fun `an answer that ends with its connection is whole, and one that is reset is not`() {
        val head = { request: RecordedRequest ->
            "HTTP/1.1 200 OK\r\nRequest-Id: ${request.id}\r\nServer-Stamp: proof\r\n\r\npart"
        }
        val ending = ScriptedServer { request, socket ->
            socket.writeText(head(request))
            socket.close()
        }
        ForwardFixture(RouteKind.NonIdempotent, listOf(ending)).use { node ->
            assertTrue(node.exchange(request("r1")).endsWith("part"))
        }
        val resetting = ScriptedServer { request, socket ->
            socket.writeText(head(request))
            Thread.sleep(SETTLE_MILLIS)
            socket.reset()
        }
        ForwardFixture(RouteKind.NonIdempotent, listOf(resetting)).use { node ->
            assertTrue(node.exchange(request("r1")).startsWith("HTTP/1.1 502"))
        }
    }

    @Test
    fun `a silent server's request ends at the route's timeout with an unknown outcome`() {
        val silent = ScriptedServer { _, _ -> }
        ForwardFixture(RouteKind.NonIdempotent, listOf(silent), timeout = 300.milliseconds).use { node ->
            val start = System.nanoTime()
            val answer = node.exchange(request("r1"))
            val took = (System.nanoTime() - start) / NANOS_PER_MILLI

            assertTrue(answer.startsWith("HTTP/1.1 504"), answer)
            assertTrue(took in 280..800, "took $took ms")
        }
    }

    @Test
    fun `a caller that leaves has its work stopped`() {
        val left = CountDownLatch(1)
        val resetting = ScriptedServer { _, socket ->
            runCatching { socket.getInputStream().read() }
            left.countDown()
        }
        ForwardFixture(RouteKind.NonIdempotent, listOf(resetting)).use { node ->
            val caller = node.connect()
            caller.writeText(request("r1"))
            while (resetting.requests.isEmpty()) Thread.sleep(POLL_MILLIS)
            caller.close()

            assertTrue(left.await(500, TimeUnit.MILLISECONDS))
        }
    }

    @Test
    fun `unknown keys, routes and malformed requests are told apart`() {
        ForwardFixture(RouteKind.NonIdempotent, listOf(good)).use { node ->
            val status = { text: String -> node.exchange(text).substringAfter(' ').substringBefore(' ') }

            assertEquals("401", status(request("r1").replace("key-1", "key-2")))
            assertEquals("404", status(request("r2").replace("/a/x", "/b/x")))
            assertEquals("400", status(request("r3", more = arrayOf("Transfer-Encoding: chunked"))))
            assertEquals("400", status(request("r4", more = arrayOf("Host: second.example"))))
            assertEquals("400", status("nonsense\r\n\r\n"))
            assertEquals("413", status(request("r5", body = "x".repeat(5_000))))
            assertEquals("431", status(request("r6", more = arrayOf("X-Long: " + "x".repeat(9_000)))))
            assertEquals("408", status("POST /a/ HTTP/1.1\r\nHost: host.ex"))
            assertEquals(0, good.requests.size)
        }
    }

    @Test
    fun `requests in a row on one connection are answered in order`() {
        ForwardFixture(RouteKind.NonIdempotent, listOf(good)).use { node ->
            val kept = request("r1").replace("Connection: close\r\n", "")

            val both = node.exchange(kept + request("r2"))

            assertEquals(2, Regex("HTTP/1.1 200").findAll(both).count())
            assertTrue(both.indexOf("Request-Id: r1") in 0 until both.indexOf("Request-Id: r2"))
            assertFalse(RESET in both)
        }
    }

    private companion object {
        const val SETTLE_MILLIS = 50L
        const val POLL_MILLIS = 5L
        const val NANOS_PER_MILLI = 1_000_000
    }
}
