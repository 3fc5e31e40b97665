/*
 * Measures the overhead that a node adds to a request. The same client calls a stand-in engine directly and through a
 * node, alternately, in one process and one run. A second part measures the memory of idle open streams.
 */
package org.persimmonrelay.measure

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.HdrHistogram.Histogram
import org.persimmonrelay.clock.SystemClock
import org.persimmonrelay.engine.EngineAddress
import org.persimmonrelay.engine.EngineClient
import org.persimmonrelay.engine.EngineRoutes
import org.persimmonrelay.engine.EngineTimeouts
import org.persimmonrelay.engine.GenerateRequest
import org.persimmonrelay.engine.KtorEngineClient
import org.persimmonrelay.identity.RequestId
import org.persimmonrelay.standin.InProcessEngineClient
import org.persimmonrelay.standin.StandInEngine
import org.persimmonrelay.standin.StandInEngineServer
import org.persimmonrelay.standin.StandInEngineSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours

/** Compares requests through a node with direct requests to the engine. */
public class PathBench(private val settings: PathBenchSettings = PathBenchSettings()) {
    /** Runs all parts, which takes one to two minutes. */
    public fun run(): PathReport = runBlocking(Dispatchers.Default) {
        val first = withEndpoints { firstToken(it) }
        val tokens = withEndpoints { tokens(it) }
        PathReport(first, tokens, idleInProcess(), idleHttp())
    }

    private suspend fun firstToken(endpoints: Endpoints): FirstTokenFigures {
        val direct = Target(endpoints.engineUrl, engineBody(FEW_TOKENS))
        val node = Target(endpoints.nodeUrl, nodeBody(FEW_TOKENS))
        warmUp(endpoints.client, direct, node)
        repeat(settings.samples + settings.samples / WARM_UP_DIVISOR) { turn ->
            val recorded = turn >= settings.samples / WARM_UP_DIVISOR
            listOf(direct, node).forEach { it.measure(recorded) { endpoints.client.firstEvent(it.url, it.body) } }
        }
        return FirstTokenFigures(
            settings.samples,
            direct.medianMillis(),
            node.medianMillis(),
            direct.cpuMicros(settings.samples.toLong()),
            node.cpuMicros(settings.samples.toLong()),
        )
    }

    private suspend fun warmUp(client: PathClient, vararg targets: Target) = coroutineScope {
        List(WARM_UP_CALLERS) {
            async {
                repeat(settings.warmUp / WARM_UP_CALLERS) {
                    targets.forEach { client.firstEvent(it.url, it.body) }
                }
            }
        }.awaitAll()
    }

    private suspend fun tokens(endpoints: Endpoints): TokenFigures {
        val direct = Target(endpoints.engineUrl, engineBody(settings.tokensPerStream))
        val node = Target(endpoints.nodeUrl, nodeBody(settings.tokensPerStream))
        repeat(settings.rounds + WARM_UP_ROUNDS) { round ->
            val recorded = round >= WARM_UP_ROUNDS
            listOf(direct, node).forEach { it.measure(recorded) { readAllStreams(endpoints.client, it) } }
        }
        val perRound = settings.streams.toLong() * settings.tokensPerStream
        return TokenFigures(
            settings.streams,
            settings.tokensPerStream,
            perRound / direct.medianMillis() * MILLIS_PER_SECOND,
            perRound / node.medianMillis() * MILLIS_PER_SECOND,
            direct.cpuMicros(perRound * settings.rounds),
            node.cpuMicros(perRound * settings.rounds),
        )
    }

    /** Reads all streams concurrently; returns the time until the last one ended. */
    private suspend fun readAllStreams(client: PathClient, target: Target): Duration = coroutineScope {
        val start = SystemClock.now()
        val events = List(settings.streams) { async { client.countEvents(target.url, target.body) } }.awaitAll()
        check(events.all { it >= settings.tokensPerStream }) { "A stream ended early, after ${events.min()} events." }
        SystemClock.now() - start
    }

    private suspend fun idleInProcess(): List<IdleFigures> {
        val engine = idleEngine()
        val address = EngineAddress("in-process")
        return idle(address.value, InProcessEngineClient(mapOf(address to engine)), DESCRIPTORS_PER_STREAM_IN_PROCESS)
    }

    private suspend fun idleHttp(): List<IdleFigures> {
        val server = StandInEngineServer(idleEngine())
        val client = KtorEngineClient(SystemClock, EngineTimeouts(progress = 1.hours))
        return server.use { client.use { idle(server.start(), client, DESCRIPTORS_PER_STREAM_HTTP) } }
    }

    private suspend fun idle(address: String, client: EngineClient, descriptors: Int): List<IdleFigures> {
        val node = BenchNode(address, client)
        val port = node.start()
        val maxStreams = MemoryGauge.freeDescriptors()?.div(descriptors) ?: Int.MAX_VALUE
        val levels = settings.idleLevels.map { minOf(it, maxStreams) }.distinct()
        val figures = mutableListOf<IdleFigures>()
        IdleStreams(port).use { streams ->
            for (level in levels) {
                streams.growTo(level)
                check(node.openRequests == level) { "Only ${node.openRequests} of $level streams are open." }
                figures += idleAt(level, figures.firstOrNull())
            }
        }
        node.stop()
        return figures
    }

    private suspend fun idleAt(level: Int, first: IdleFigures?): IdleFigures {
        val heap = MemoryGauge.heapBytes()
        delay(settings.hold)
        val held = MemoryGauge.heapBytes()
        val slope = first?.let { (heap - it.heapBytes).toDouble() / (level - it.streams) } ?: 0.0
        val hold = settings.hold.inWholeSeconds.toInt()
        return IdleFigures(level, heap, held, hold, MemoryGauge.directBytes(), slope)
    }

    private suspend fun <T> withEndpoints(measure: suspend (Endpoints) -> T): T {
        val engine = StandInEngine(engineSettings(0.0), SystemClock)
        val server = StandInEngineServer(engine)
        val engineClient = KtorEngineClient(SystemClock)
        val client = PathClient(SystemClock)
        val address = server.start()
        val node = BenchNode(address, engineClient)
        try {
            val nodeUrl = "http://127.0.0.1:${node.start()}/v1/chat/completions"
            return measure(Endpoints(client, "http://$address${EngineRoutes.GENERATE}", nodeUrl))
        } finally {
            node.stop()
            client.close()
            engineClient.close()
            server.close()
        }
    }

    private fun idleEngine() = StandInEngine(engineSettings(IDLE_TOKENS_PER_SECOND), SystemClock)

    private fun engineSettings(rate: Double) = StandInEngineSettings(
        server = "engine",
        models = listOf(BenchCatalog.MODEL),
        outputTokensPerSecond = rate,
        reportLag = Duration.ZERO,
        naturalOutputTokens = { Int.MAX_VALUE },
    )

    private fun engineBody(tokens: Int) =
        Json.encodeToString(GenerateRequest(RequestId("direct"), 1, BenchCatalog.MODEL, PROMPT, tokens))

    private fun nodeBody(tokens: Int) = """{"model":"${BenchCatalog.MODEL}","stream":true,"max_tokens":$tokens,""" +
        """"messages":[{"role":"user","content":"$PROMPT"}]}"""

    /** A URL with its request body, and the recorded latency and processor time of its requests. */
    private class Target(val url: String, val body: String) {
        private val times = Histogram(MAX_NANOS, SIGNIFICANT_DIGITS)
        private var cpuNanos = 0L

        suspend fun measure(recorded: Boolean, run: suspend () -> Duration) {
            val before = MemoryGauge.cpuNanos()
            val time = run()
            if (!recorded) return
            cpuNanos += MemoryGauge.cpuNanos() - before
            times.recordValue(time.inWholeNanoseconds)
        }

        fun medianMillis() = times.getValueAtPercentile(MEDIAN) / NANOS_PER_MILLI

        fun cpuMicros(units: Long) = cpuNanos / NANOS_PER_MICRO / units
    }

    private class Endpoints(val client: PathClient, val engineUrl: String, val nodeUrl: String)

    private companion object {
        const val PROMPT = "Draft a delivery sheet for the lake venue."
        const val FEW_TOKENS = 4
        const val IDLE_TOKENS_PER_SECOND = 0.001
        const val DESCRIPTORS_PER_STREAM_IN_PROCESS = 2
        const val DESCRIPTORS_PER_STREAM_HTTP = 4
        const val MAX_NANOS = 60_000_000_000L
        const val SIGNIFICANT_DIGITS = 3
        const val MEDIAN = 50.0
        const val MILLIS_PER_SECOND = 1_000.0
        const val WARM_UP_ROUNDS = 3
        const val WARM_UP_CALLERS = 16
        const val WARM_UP_DIVISOR = 5
        const val NANOS_PER_MICRO = 1_000.0
        const val NANOS_PER_MILLI = 1_000_000.0
    }
}
