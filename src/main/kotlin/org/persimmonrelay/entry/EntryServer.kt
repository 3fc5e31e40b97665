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

/** Serves callers over HTTP. */
public class EntryServer(private val settings: EntrySettings, private val parts: EntryDependencies) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val requests = OpenRequests(settings.maxOpenRequests)
    private val servers = ServerSource(parts.access.catalog, parts.drainingServers)
    private val gates = DispatchGates(servers, parts.clock, scope, parts.dispatcherFactory)
    private val metrics = EntryMetrics(parts.registry, settings.labelledWorkspaces, requests)
    private val keyGate = KeyGate(parts.access.keys, parts.clock)
    private val running =
        RunningKeys(parts.access.withdrawals, parts.clock, settings.keyCheck, settings.withdrawnFinish)
    private val bodies = BodyReader(settings.maxBodyBytes, settings.bodyTimeout)
    private val serviceClient = ServiceClient(settings.answerBytes, settings.connectTimeout)
    private val services =
        ServiceHandler(keyGate, bodies, servers, serviceClient, parts.once, running, parts.events)
    private val completions =
        CompletionHandler(
            keyGate,
            bodies,
            servers,
            gates,
            AnswerRelay(parts.engine, settings.maxAttempts, parts.events),
            running,
            RequestIds(parts.incarnation),
            parts.usage,
            metrics,
            parts.clock,
        )
    private val server = embeddedServer(Netty, configure = { configure() }) { module() }

    /** What the dispatchers tell other nodes and hear from them. */
    public val exchange: DispatchExchange = DispatchExchange(gates, parts.clock)

    /** Requests in hand. */
    public val openRequests: Int get() = requests.count

    /** True once [stop] was called. */
    public val isLeaving: Boolean get() = requests.isLeaving

    /** Starts to listen; returns the bound port. */
    public suspend fun start(): Int {
        scope.launch { running.run() }
        scope.launch { servers.changes.collect { gates.serversChanged() } }
        scope.launch { LoadFeed(parts.loads, gates).run() }
        server.startSuspend(wait = false)
        val port = server.engine.resolvedConnectors().first().port
        parts.events.record(EntryEvent.LISTENING, "host" with settings.host, "port" with port)
        return port
    }

    /**
     * Leaves: not ready at once, new requests are refused as not run, and those in hand have [grace] to finish.
     * Returns after the last one.
     */
    public suspend fun stop(grace: Duration) {
        parts.events.record(EntryEvent.LEAVING, "open" with requests.count)
        requests.leave()
        val cut = requests.awaitNone(grace)
        server.stopSuspend(LAST_ANSWERS.inWholeMilliseconds, STOP_BOUND.inWholeMilliseconds)
        scope.cancel()
        serviceClient.close()
        parts.events.record(EntryEvent.STOPPED, "cut" with cut)
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
            healthRoutes(parts.registry) { !requests.isLeaving }
            post("/v1/chat/completions") { admitted(call) { completions.handle(call, AnswerForm.CHAT) } }
            post("/v1/completions") { admitted(call) { completions.handle(call, AnswerForm.TEXT) } }
            get("/v1/models") { admitted(call) { models(call) } }
            route("/s/{service}/{path...}") {
                handle { admitted(call) { services.handle(call, call.parameters["service"].orEmpty()) } }
            }
        }
    }

    private suspend fun admitted(call: ApplicationCall, serve: suspend () -> Either<Refusal, Unit>) {
        if (CallerConnection.isGone(call)) return
        when (requests.enter()) {
            Entrance.LEAVING -> refuse(call, ErrorAnswers.leaving())
            Entrance.FULL -> refuse(call, FULL)
            Entrance.ADMITTED ->
                try {
                    runCatching { serve() }.getOrElse { unexpected(call, it) }.onLeft { refuse(call, it) }
                } finally {
                    requests.exit()
                }
        }
    }

    /** Turns a fault of this program into an answer; what ends the call anyway goes on as it is. */
    private fun unexpected(call: ApplicationCall, error: Throwable): Either<Refusal, Unit> {
        if (error !is Exception || error is CancellationException || error is IOException) throw error
        parts.events.record(EntryEvent.REQUEST_FAILED, "error" with error::class.simpleName)
        if (call.response.isCommitted) throw error
        return ErrorAnswers.unexpected().left()
    }

    private suspend fun refuse(call: ApplicationCall, refusal: Refusal) {
        metrics.refused(refusal)
        if (requests.isLeaving) call.response.header(HttpHeaders.Connection, "close")
        ErrorAnswers.send(call, refusal)
    }

    private suspend fun models(call: ApplicationCall) = keyGate.check(call).map { caller ->
        val entries =
            servers.view.deploymentsFor(caller.workspace).map { ModelEntry(it.name, "model", 0, "persimmonrelay") }
        call.respondText(
            Json.encodeToString(ModelList.serializer(), ModelList("list", entries)),
            ContentType.Application.Json,
        )
    }

    private companion object {
        /** For answers that were just written when the last request ended. */
        val LAST_ANSWERS = 100.milliseconds
        val STOP_BOUND = 2.seconds
        val FULL =
            Refusal.NotRun(
                NotRunReason.OVERLOADED,
                "This node has as many requests open as it may; try again after the given time.",
                1.seconds,
            )
    }
}
