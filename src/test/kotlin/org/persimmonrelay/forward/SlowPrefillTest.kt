package org.persimmonrelay.forward

import org.persimmonrelay.backend.EngineStage
import org.persimmonrelay.backend.RetryBudgetPolicy
import org.persimmonrelay.forward.ForwardFixture.Companion.request
import org.persimmonrelay.route.RouteKind
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * An engine prefills a prompt slowly, so that the request is hedged at engines that run it whole, and these fail.
 */
class SlowPrefillTest {
    // Guards against a node that serves nothing any more after a hedged request has failed twice (CONFIG).
    @Test
    fun `the node serves on when two hedges of a slow prefill fail, the second after it has ended`() {
        Failure.entries.forEach { failure ->
            engines(failure, failure).use { engines ->
                engines.node().use { node ->
                    node.exchange(prompt("slow"))

                    repeat(3) { assertTrue(isWhole(node.exchange(prompt("later-$it"))), "$failure") }
                }
            }
        }
    }

    // Guards against giving up a prompt that was read while the attempts beside it failed.
    @Test
    fun `a prompt that was prefilled is decoded from its memory when a run is left`() {
        val cases = Failure.entries.map { it to Failure.REFUSAL } + Failure.entries.map { Failure.REFUSAL to it }
        cases.filterNot { (first, _) -> first == Failure.CUT }.forEach { (first, second) ->
            engines(first, second).use { engines ->
                engines.node().use { node ->
                    assertTrue(isWhole(node.exchange(prompt("slow"))), "$first, $second")
                }
            }
        }
    }

    // Guards against the same by chance: slow prefills and mixed failures under load.
    @Test
    fun `a node under load serves on whatever fails beside slow prefills`() {
        listOf(1, 2).forEach { seed ->
            underLoad(seed).use { engines ->
                engines.node().use { node ->
                    load(node)

                    assertTrue(node.exchange(prompt("later")).startsWith("HTTP/1.1"), "seed $seed")
                }
            }
        }
    }

    private fun load(node: ForwardFixture) {
        val callers = List(CALLERS) { number ->
            thread { repeat(LOADED_REQUESTS) { node.exchange(prompt("load-$number-$it")) } }
        }
        callers.forEach { it.join() }
    }

    /** Engines that prefill some prompts slowly, and whose whole runs of these fail. */
    private fun underLoad(seed: Int) = Engines { request, whole ->
        val isSlow = Random("$seed ${request.id}".hashCode()).nextDouble() < SLOW_SHARE
        val random = Random("$seed ${request.id} $whole ${request.header("Stage")}".hashCode())
        when {
            !isSlow || request.header("Kv-Source") != null -> Work(SHORT_MILLIS, null)
            request.header("Stage") != null -> Work(random.nextLong(1_000, 3_000), null)
            else -> Work(random.nextLong(300, 2_100), Failure.entries.random(random))
        }
    }

    /** Engines that prefill "slow" slowly. Its first whole run ends with [first], the others with [second]. */
    private fun engines(first: Failure, second: Failure) = Engines { request, whole ->
        when {
            request.id != "slow" -> Work(0, null)
            request.header("Stage") != null -> Work(LONG_MILLIS, null)
            request.header("Kv-Source") != null -> Work(0, null)
            whole == 1 -> Work(SHORT_MILLIS, first)
            else -> Work(LONG_MILLIS, second)
        }
    }

    private fun prompt(id: String) = request(
        id,
        body = id,
        more = arrayOf("Token-Count: 9000,20", "Prompt-Prefix: aa:8000,own-$id:1000", "Model: m"),
        deadlineMillis = TIMEOUT.inWholeMilliseconds,
    )

    private fun isWhole(response: String) =
        response.startsWith("HTTP/1.1 200") && response.endsWith(LAST_CHUNK) && ids(response) == (1..EVENTS).toList()

    private fun ids(response: String) =
        Regex("id: (\\d+)\ndata").findAll(response).map { it.groupValues[1].toInt() }.toList()

    /** What an engine does with a request: it works for [millis], then streams the response or fails with [failure]. */
    private class Work(val millis: Long, val failure: Failure?)

    /** One engine that prefills and four that decode. [work] is what they do with a request and its nth whole run. */
    private class Engines(private val work: (RecordedRequest, Int) -> Work) : AutoCloseable {
        private val wholeRuns = ConcurrentHashMap<String, AtomicInteger>()
        private val stages = listOf(EngineStage.PREFILL) + List(4) { EngineStage.DECODE }
        private val servers = stages.map { ScriptedServer(script = ::respond) }

        fun node() = ForwardFixture(
            RouteKind.Streaming(resumable = true, pauseTarget = 100.milliseconds),
            servers,
            stages,
            TIMEOUT,
            retryBudget = RetryBudgetPolicy(1.0, 1_000, 10.seconds),
        )

        private fun respond(request: RecordedRequest, socket: Socket) {
            val isWhole = request.header("Stage") == null && request.header("Kv-Source") == null
            val runs = wholeRuns.computeIfAbsent(request.id) { AtomicInteger() }
            val work = work(request, if (isWhole) runs.incrementAndGet() else runs.get())
            Thread.sleep(work.millis)
            when {
                work.failure != null -> work.failure.respond(request, socket)
                request.header("Stage") != null ->
                    socket.writeText(responseTo(request, "200 OK", """{"kv_handle":"h1","tokens":9000,"version":1}"""))
                else -> socket.writeText(streamHead(request) + events(EVENTS) + LAST_CHUNK)
            }
        }

        override fun close() = servers.forEach { it.close() }
    }

    /** How a run fails. */
    enum class Failure(val respond: (RecordedRequest, Socket) -> Unit) {
        RESET({ _, socket -> socket.reset() }),
        ERROR({ request, socket -> socket.writeText(responseTo(request, "500 Oops", "no")) }),
        NO_RESPONSE({ _, socket ->
            socket.writeText("bytes that are no response\r\n\r\n")
            socket.close()
        }),
        REFUSAL({ request, socket ->
            socket.writeText(responseTo(request, "503 Service Unavailable", "", "Not-Executed: 1"))
        }),
        CUT({ request, socket ->
            socket.writeText(streamHead(request) + events(3))
            socket.reset()
        }),
    }

    private companion object {
        const val EVENTS = 6
        const val CALLERS = 6
        const val LOADED_REQUESTS = 16
        const val SLOW_SHARE = 0.25
        const val SHORT_MILLIS = 300L

        /** Longer than two hedges wait. */
        const val LONG_MILLIS = 2_000L
        val TIMEOUT = 8.seconds

        fun events(count: Int) = (1..count).joinToString("") { chunk(event(it)) }
    }
}
