package org.persimmonrelay.forward

import org.persimmonrelay.forward.ForwardFixture.Companion.request
import org.persimmonrelay.route.RouteKind
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

/** A node that is told to stop while a long stream runs. */
class PlannedStopTest {
    private val resumable = RouteKind.Streaming(resumable = true, pauseTarget = 1.seconds)

    // Guards against cutting a stream that its server ends before the last sixth of the grace period (LOST).
    @Test
    fun `a node that drains leaves running streams five sixths of the grace period`() {
        val started = CountDownLatch(1)
        val running = ScriptedServer { request, socket ->
            socket.writeText(streamHead(request))
            started.countDown()
            repeat(EVENTS) {
                socket.writeText(chunk(event(it + 1)))
                Thread.sleep(PAUSE_MILLIS)
            }
        }
        ForwardFixture(resumable, listOf(running), timeout = 20.seconds).use { node ->
            node.connect().use { caller ->
                caller.writeText(request("r1").replace("Deadline-Ms: 2500", "Deadline-Ms: 20000"))
                started.await()

                val took = measureTime { node.shutDown(GRACE) }

                assertTrue(took >= GRACE * 5 / 6, "$took of $GRACE")
                assertTrue(took < GRACE, "$took of $GRACE")
            }
        }
    }

    // Guards against taking a request that can't end before the node does (LOST).
    @Test
    fun `a request that comes late in a long grace period reaches no server`() {
        val server = ScriptedServer { request, socket -> socket.writeText(responseTo(request, "200 OK", "served")) }
        ForwardFixture(RouteKind.NonIdempotent, listOf(server)).use { node ->
            node.connect().use { caller ->
                val stopping = thread { node.shutDown(LONG_GRACE) }
                // Its request is under way, so that the connection is not idle.
                caller.writeText(request("r1", body = "").replace("Content-Length: 0", "Content-Length: 5"))
                Thread.sleep(LATE_MILLIS)
                caller.writeText("hello")
                val response = caller.getInputStream().readAllBytes().decodeToString()

                assertTrue(response.startsWith("HTTP/1.1 503"), response)
                assertEquals(emptyList(), server.requests)
                stopping.join()
            }
        }
    }

    // Guards against a connection that closes without an answer when the node's time is up (LOST).
    @Test
    fun `requests that still run when the node has to stop get an answer`() {
        val started = CountDownLatch(1)
        val busy = ScriptedServer { _, _ -> started.countDown() }
        ForwardFixture(RouteKind.NonIdempotent, listOf(busy), timeout = 20.seconds).use { node ->
            node.connect().use { caller ->
                caller.writeText(request("r1", deadlineMillis = 20_000))
                started.await()
                node.shutDown(GRACE)

                val response = caller.getInputStream().readAllBytes().decodeToString()
                assertTrue(response.startsWith("HTTP/1.1 504"), response)
            }
        }
    }

    private companion object {
        val LONG_GRACE = 12.seconds
        const val LATE_MILLIS = 3_200L

        val GRACE = 2_000.milliseconds
        const val EVENTS = 40
        const val PAUSE_MILLIS = 100L
    }
}
