package org.persimmonrelay.entry

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.persimmonrelay.catalog.BackendServerConfig
import org.persimmonrelay.catalog.Deployment
import org.persimmonrelay.catalog.Workspace
import org.persimmonrelay.clock.SystemClock
import org.persimmonrelay.engine.EngineTimeouts
import org.persimmonrelay.engine.KtorEngineClient
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.WorkspaceId
import org.persimmonrelay.routing.Dispatcher
import org.persimmonrelay.routing.RoundRobinDispatcher
import org.persimmonrelay.standin.StandInEngine
import org.persimmonrelay.standin.StandInEngineServer
import org.persimmonrelay.standin.StandInEngineSettings
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.usage.UsageMeter
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An entry server with stand-in engines, connected over real loopback sockets. */
class EntryFixture(
    val settings: EntrySettings = EntrySettings(keyCheckInterval = 20.milliseconds),
    private val timeouts: EngineTimeouts = EngineTimeouts(),
    private val engines: Int = 1,
    private val engineSettings: (String) -> StandInEngineSettings = { StandInEngineSettings(it, listOf("m")) },
    private val dispatcher: () -> Dispatcher = { RoundRobinDispatcher() },
) {
    val catalog = FakeCatalog()
    val once = InMemoryIdempotencyManager()
    val usage = CopyOnWriteArrayList<RecordedUsage>()
    val standIns = mutableListOf<StandInEngine>()
    val engineServers = mutableListOf<StandInEngineServer>()
    lateinit var entry: EntryServer
    var port = 0

    val url get() = "http://127.0.0.1:$port"
    val http = HttpClient(CIO) { engine { requestTimeout = 0 } }

    fun run(test: suspend CoroutineScope.(EntryFixture) -> Unit) = runBlocking {
        val client = KtorEngineClient(SystemClock, timeouts)
        try {
            withTimeout(LIMIT) {
                start(client)
                test(this@EntryFixture)
            }
        } finally {
            entry.stop(Duration.ZERO)
            engineServers.forEach { it.close() }
            client.close()
            http.close()
        }
    }

    suspend fun chat(body: String, key: String? = KEY): HttpResponse = http.post("$url/v1/chat/completions") {
        key?.let { header("Authorization", "Bearer $it") }
        setBody(body)
    }

    private suspend fun start(client: KtorEngineClient) {
        repeat(engines) { startEngine("engine-$it") }
        catalog.issue(KEY, Workspace("w1"))
        catalog.issue(OTHER_KEY, Workspace("w2"))
        catalog.change {
            it.copy(deployments = listOf(Deployment(name = MODEL, model = "m", pools = "")), servers = servers())
        }
        val dependencies =
            EntryDependencies(
                incarnation = Incarnation("i1"),
                clock = SystemClock,
                access = AccessControl(catalog, catalog, catalog),
                engine = client,
                once = once,
                usage = UsageRecorder(usage),
                events = EventSink.NONE,
                registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT),
                dispatcherFactory = { dispatcher() },
            )
        entry = EntryServer(settings, dependencies)
        port = entry.start()
    }

    private suspend fun startEngine(name: String) {
        val engine = StandInEngine(engineSettings(name), SystemClock)
        standIns += engine
        engineServers += StandInEngineServer(engine).also { it.start() }
    }

    fun servers() = engineServers.mapIndexed { i, engineServer -> server("engine-$i", engineServer.address) }

    companion object {
        const val KEY = "caller-key-1"
        const val OTHER_KEY = "caller-key-2"
        const val MODEL = "planner-llm"
        val LIMIT = 60.seconds

        fun server(name: String, address: String) =
            BackendServerConfig(name = name, address = address, domain = "puget-a", region = "r1")

        fun body(prompt: String, stream: Boolean = false, extra: String = "") =
            """{"model":"$MODEL","stream":$stream,"messages":[{"role":"user","content":"$prompt"}]$extra}"""

        /** The prompt as it is sent to the engine. */
        fun rendered(prompt: String) = "user: $prompt\nassistant:"
    }
}

data class RecordedUsage(val workspace: WorkspaceId, val promptTokens: Long, val outputTokens: Long)

class UsageRecorder(private val to: MutableList<RecordedUsage>) : UsageMeter {
    override fun record(workspace: WorkspaceId, promptTokens: Long, outputTokens: Long) {
        to += RecordedUsage(workspace, promptTokens, outputTokens)
    }
}
