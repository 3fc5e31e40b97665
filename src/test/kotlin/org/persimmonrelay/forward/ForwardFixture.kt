package org.persimmonrelay.forward

import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.persimmonrelay.adapter.EngineReportCodec
import org.persimmonrelay.adapter.PlatformHeaderCodec
import org.persimmonrelay.backend.BackendDirectory
import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.backend.BackendServers
import org.persimmonrelay.backend.EngineStage
import org.persimmonrelay.backend.RetryBudgetPolicy
import org.persimmonrelay.backend.ServerInstance
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.clock.SystemClock
import org.persimmonrelay.http.EventLoopThread
import org.persimmonrelay.http.ServerAddress
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.identity.WorkspaceId
import org.persimmonrelay.quarantine.RequestQuarantine
import org.persimmonrelay.route.ActiveRouteTable
import org.persimmonrelay.route.CallerLimits
import org.persimmonrelay.route.ConfiguredWorkspace
import org.persimmonrelay.route.Route
import org.persimmonrelay.route.RouteKind
import org.persimmonrelay.route.RouteTable
import org.persimmonrelay.route.Service
import org.persimmonrelay.route.WeightedService
import org.persimmonrelay.settings.ListenSettings
import org.persimmonrelay.settings.RelayBounds
import org.persimmonrelay.settings.RelaySettings
import org.persimmonrelay.timeline.EventCode
import org.persimmonrelay.timeline.EventField
import org.persimmonrelay.usage.UsageMeter
import java.io.InputStream
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A forwarding node on loopback in front of scripted servers. */
class ForwardFixture(
    kind: RouteKind,
    private val servers: List<ScriptedServer>,
    private val stages: List<EngineStage?> = servers.map { null },
    timeout: Duration = 3.seconds,
    attempts: Int = 2,
    bodyLimit: Int = 4_096,
    private val retryBudget: RetryBudgetPolicy = RetryBudgetPolicy(0.2, 20, 10.seconds),
) : AutoCloseable {
    private val thread = EventLoopThread("test-traffic")
    private val recorded = CopyOnWriteArrayList<Pair<EventCode, List<EventField>>>()
    val usage = CopyOnWriteArrayList<WorkspaceId>()
    val directory = BackendDirectory { code, fields -> recorded += code to fields.toList() }
    private val tables = ActiveRouteTable { _, _ -> }
    private val anyPort = ListenSettings("127.0.0.1", 0)
    private val server =
        ForwardServer(
            ForwardServerDependencies(
                settings = RelaySettings(
                    node = NodeId("n1"),
                    domain = BackendServers.PLACE.domain,
                    region = BackendServers.PLACE.region,
                    regions = BackendServers.PLACE.regions,
                    callers = anyPort,
                    readiness = anyPort,
                    metrics = anyPort,
                    peers = anyPort,
                    bounds = RelayBounds(),
                ),
                routeTable = tables,
                directory = directory,
                headerCodec = PlatformHeaderCodec(),
                engineReports = EngineReportCodec(),
                usage = object : UsageMeter {
                    override fun record(workspace: WorkspaceId, promptTokens: Long, outputTokens: Long) {
                        usage += workspace
                    }
                },
                quarantine = RequestQuarantine { code, fields -> recorded += code to fields.toList() },
                limits = object : ForwardLimits {
                    override fun retryRule() = retryBudget

                    override fun maxKeyStaleness() = null

                    override fun limitSharers(server: BackendServer) = listOf(NodeId("n1"))

                    override fun nodeCount() = 1

                    override fun mayPollReports(server: BackendServer, maxPollers: Int) = true
                },
                clock = SystemClock,
                events = { code, fields -> recorded += code to fields.toList() },
                registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT),
            ),
            thread,
        )
    private val port: Int

    init {
        val route = Route(
            name = "r",
            host = "host.example",
            prefix = "/a/",
            kind = kind,
            services = listOf(WeightedService(BackendServers.ENGINES, 1)),
            maxAttempts = attempts,
            timeout = timeout,
            latencyTarget = 200.milliseconds,
            priority = 0,
            allowsAnonymous = false,
        )
        val engine = BackendServers.SHAPE.takeIf { stages.any { it != null } }
        val service = Service(BackendServers.ENGINES, 100, engine)
        val keys = mapOf("key-1" to ConfiguredWorkspace(WorkspaceId("w1"), null))
        val table = RouteTable(
            version = 1,
            routes = listOf(route),
            services = mapOf(service.id to service),
            limits = CallerLimits(headerBytes = 8_192, bodyBytes = bodyLimit, headerTimeout = 300.milliseconds),
            workspacesByKey = keys,
            keysRequired = true,
        )
        tables.offer(table, Moment.ZERO)
        directory.replaceAll(servers.mapIndexed { i, server -> backend(i, server, stages[i]) }, false, Moment.ZERO)
        port = runBlocking { withContext(thread.dispatcher) { server.start() } }
    }

    private fun backend(index: Int, server: ScriptedServer, stage: EngineStage?): BackendServer =
        BackendServers.server("s$index", stage).copy(
            instance = ServerInstance(ServerId("s$index"), 1),
            address = ServerAddress("127.0.0.1", server.port),
        )

    /** [server] announces itself as ready, as the run that began at [startedAtMillis]. */
    fun announce(server: ScriptedServer, startedAtMillis: Long = 1) {
        val index = servers.indexOf(server)
        val entry = backend(index, server, stages[index])
        directory.changed(entry.copy(instance = entry.instance.copy(startedAtMillis = startedAtMillis)))
    }

    /** The entry of [leaving] is removed from the list of servers. */
    fun leave(leaving: ScriptedServer) =
        directory.removed(ServerId("s${servers.indexOf(leaving)}"), storeUnavailable = false, Moment.ZERO)

    /** Shuts the node down within [grace]; returns when it has drained. */
    fun shutDown(grace: Duration) = runBlocking { withContext(thread.dispatcher) { server.shutDown(grace) } }

    /** Polls the engines among the servers and waits until [count] of them have reported. */
    fun awaitEngineReports(count: Int) {
        runBlocking { withContext(thread.dispatcher) { server.updateServers() } }
        awaitEvents(ForwardEvent.ENGINE_REPORTS_FOLLOWED, count)
    }

    /** Waits until [code] has been recorded [count] times; fails after the read timeout. */
    fun awaitEvents(code: EventCode, count: Int) =
        awaitTrue("$code was recorded $count times") { recorded.count { it.first == code } >= count }

    /** The text of field [name] in each record of [code] so far. */
    fun recorded(code: EventCode, name: String): List<String> =
        recorded.filter { it.first == code }.mapNotNull { (_, fields) -> fields.firstOrNull { it.name == name }?.value }

    /** Waits until [condition] holds; fails after the read timeout. */
    fun awaitTrue(what: String, condition: () -> Boolean) = runBlocking {
        val holds = withTimeoutOrNull(READ_TIMEOUT_MILLIS.milliseconds) {
            while (!condition()) delay(POLL)
            true
        }
        assertTrue(holds == true, "Not within the timeout: $what")
    }

    fun connect() = Socket("127.0.0.1", port).apply { soTimeout = READ_TIMEOUT_MILLIS }

    /** Sends [text] on a new connection and returns all bytes received until it ends, with [RESET] after a reset. */
    fun exchange(text: String): String = connect().use { socket ->
        socket.writeText(text)
        val all = StringBuilder()
        val end = runCatching { readInto(all, socket.getInputStream()) }.exceptionOrNull()
        if (end is SocketException) all.append(RESET) else end?.let { throw it }
        all.toString()
    }

    private fun readInto(all: StringBuilder, input: InputStream) {
        while (true) {
            val byte = input.read()
            if (byte < 0) return
            all.append(byte.toChar())
        }
    }

    override fun close() {
        servers.forEach { it.close() }
        thread.close()
    }

    companion object {
        const val RESET = "<reset>"
        private val POLL = 5.milliseconds
        private const val READ_TIMEOUT_MILLIS = 10_000

        fun request(
            id: String,
            method: String = "POST",
            body: String = "hello",
            vararg more: String,
            deadlineMillis: Long = 2_500,
        ): String {
            val headers = listOf(
                "Host: host.example",
                "Request-Id: $id",
                "Deadline-Ms: $deadlineMillis",
                "Authorization: Token key-1",
                "Connection: close",
                "Content-Length: ${body.length}",
            ) + more
            return "$method /a/x?q=1 HTTP/1.1\r\n" + headers.joinToString("") { "$it\r\n" } + "\r\n" + body
        }
    }
}
