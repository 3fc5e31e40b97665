package org.persimmonrelay.entry

import arrow.core.Either
import arrow.core.left
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.install
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.netty.Netty
import io.ktor.server.netty.NettyApplicationEngine
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal
import org.persimmonrelay.timeline.with
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** HTTP server for callers: model completions, plain services, health checks and metrics. */
public class EntryServer(private val settings: EntrySettings, private val dependencies: EntryDependencies) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val requests = OpenRequests(settings.maxOpenRequests)
    private val servers = CatalogServers(dependencies.access.catalog, dependencies.drainingServers)
    private val queues = DispatchQueues(servers, dependencies.clock, scope, dependencies.dispatcherFactory)
    private val metrics = EntryMetrics(dependencies.registry, settings.maxWorkspaceLabels, requests)
    private val authenticator = ApiKeyAuthenticator(dependencies.access.keys, dependencies.clock)
    private val requestsByKey =
        RequestsByKey(
            dependencies.access.keyStates,
            dependencies.clock,
            settings.keyCheckInterval,
            settings.withdrawnKeyGrace,
        )
    private val bodyReader = RequestBodyReader(settings.maxBodyBytes, settings.bodyTimeout)
    private val serviceClient = ServiceClient(settings.maxResponseBytes, settings.connectTimeout, dependencies.clock)
    private val services =
        ServiceHandler(
            authenticator,
            bodyReader,
            servers,
            serviceClient,
            dependencies.once,
            requestsByKey,
            dependencies.events,
        )
    private val completions =
        CompletionHandler(
            authenticator,
            bodyReader,
            servers,
            queues,
            CompletionRunner(dependencies.engine, settings.maxAttempts, dependencies.events),
            requestsByKey,
            RequestIdGenerator(dependencies.incarnation),
            dependencies.usage,
            metrics,
            dependencies.clock,
        )
    private val server = embeddedServer(Netty, configure = { configure() }) { module() }

    /** Exchanges the dispatchers' usage summaries with other nodes. */
    public val exchange: DispatchExchange = DispatchExchange(queues, dependencies.clock)

    /** Number of open requests. */
    public val openRequests: Int get() = requests.count

    /** True once [stop] was called. */
    public val isDraining: Boolean get() = requests.isDraining

    /** Starts to listen; returns the port. */
    public suspend fun start(): Int {
        scope.launch { requestsByKey.run() }
        scope.launch { servers.changes.collect { queues.serversChanged() } }
        scope.launch { LoadReportForwarder(dependencies.loads, queues).run() }
        server.startSuspend(wait = false)
        val port = server.engine.resolvedConnectors().first().port
        dependencies.events.record(EntryEvent.LISTENING, "host" with settings.host, "port" with port)
        return port
    }

    /**
     * Shuts down. The readiness check fails from now on, new requests are refused as not run, and open requests may
     * finish within [grace]. Returns when all have ended or [grace] has passed.
     */
    public suspend fun stop(grace: Duration) {
        dependencies.events.record(EntryEvent.LEAVING, "open" with requests.count)
        requests.startDraining()
        val stillOpen = requests.awaitAllClosed(grace)
        server.stopSuspend(SHUTDOWN_QUIET_PERIOD.inWholeMilliseconds, SHUTDOWN_TIMEOUT.inWholeMilliseconds)
        scope.cancel()
        serviceClient.close()
        dependencies.events.record(EntryEvent.STOPPED, "cut" with stillOpen)
    }

    private fun NettyApplicationEngine.Configuration.configure() {
        connector {
            host = settings.host
            port = settings.port
        }
        maxHeaderSize = settings.maxHeaderBytes
        responseWriteTimeoutSeconds = settings.writeTimeout.inWholeSeconds.toInt()
    }

    private fun Application.module() {
        install(HttpRequestLifecycle) { cancelCallOnClose = true }
        routing {
            healthRoutes(dependencies.registry) { !requests.isDraining }
            post("/v1/chat/completions") { withAdmission(call) { completions.handle(call, CompletionKind.CHAT) } }
            post("/v1/completions") { withAdmission(call) { completions.handle(call, CompletionKind.TEXT) } }
            get("/v1/models") { withAdmission(call) { models(call) } }
            route("/s/{service}/{path...}") {
                handle { withAdmission(call) { services.handle(call, call.parameters["service"].orEmpty()) } }
            }
        }
    }

    private suspend fun withAdmission(call: ApplicationCall, serve: suspend () -> Either<Refusal, Unit>) {
        if (NettyCallConnection.isClosed(call)) return
        when (requests.tryOpen()) {
            AdmissionDecision.DRAINING -> refuse(call, ErrorResponses.nodeDraining())
            AdmissionDecision.FULL -> refuse(call, AT_CAPACITY)
            AdmissionDecision.ADMITTED ->
                try {
                    runCatching { serve() }.getOrElse { unexpectedError(call, it) }.onLeft { refuse(call, it) }
                } finally {
                    requests.close()
                }
        }
    }

    /** Converts an unexpected exception to a refusal. Cancellations, errors and I/O failures are thrown again. */
    private fun unexpectedError(call: ApplicationCall, error: Throwable): Either<Refusal, Unit> {
        if (error !is Exception || error is CancellationException || error is IOException) throw error
        dependencies.events.record(EntryEvent.REQUEST_FAILED, "error" with error::class.simpleName)
        if (call.response.isCommitted) throw error
        return ErrorResponses.unexpectedError().left()
    }

    private suspend fun refuse(call: ApplicationCall, refusal: Refusal) {
        metrics.refused(refusal)
        if (requests.isDraining) call.response.header(HttpHeaders.Connection, "close")
        ErrorResponses.send(call, refusal)
    }

    private suspend fun models(call: ApplicationCall) = authenticator.authenticate(call).map { caller ->
        val entries =
            servers.view.deploymentsFor(caller.workspace).map { ModelEntry(it.name, "model", 0, "persimmonrelay") }
        call.respondText(
            Json.encodeToString(ModelList.serializer(), ModelList("list", entries)),
            ContentType.Application.Json,
        )
    }

    private companion object {
        /** Lets the server send responses that were written just before the last request ended. */
        val SHUTDOWN_QUIET_PERIOD = 100.milliseconds
        val SHUTDOWN_TIMEOUT = 2.seconds
        val AT_CAPACITY =
            Refusal.NotRun(
                NotRunReason.OVERLOADED,
                "This node has as many requests open as it may; try again after the given time.",
                1.seconds,
            )
    }
}
