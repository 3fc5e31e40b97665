package org.persimmonrelay.forward

import io.netty.handler.codec.http.DefaultHttpHeaders
import kotlinx.coroutines.delay
import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.backend.NodeRetryBudget
import org.persimmonrelay.backend.ServerChooser
import org.persimmonrelay.http.CallerExchange
import org.persimmonrelay.http.CallerHandler
import org.persimmonrelay.http.CallerResponse
import org.persimmonrelay.http.CallerServer
import org.persimmonrelay.http.ConnectionLimits
import org.persimmonrelay.http.EventLoopThread
import org.persimmonrelay.http.HttpConnector
import org.persimmonrelay.http.ServerAddress
import org.persimmonrelay.route.CallerLimits
import org.persimmonrelay.settings.ListenSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The face for callers with the addresses for readiness and metrics. Confined to [thread], the traffic thread. */
public class ForwardServer(private val parts: ForwardServerDependencies, private val thread: EventLoopThread) {
    private val connections = ServerConnections(HttpConnector(thread), parts.limits::nodeCount)

    /** Decides which server gets a request; its calls belong to [thread]. */
    public val chooser: ServerChooser = ServerChooser(parts.place)
    private val calls = ServerCalls(connections, parts.clock)
    private val releases = HandleReleases(thread.scope, calls, parts.headerCodec, parts.events)
    private val engines = EngineWatch(thread.scope, calls, parts.engineReports, chooser, parts.clock, parts.events)
    private val log = RequestLog(parts.events, ForwardMetrics(parts.registry))
    private val answers = OwnAnswers(parts.headerCodec, log::unreadable)
    private val callers = server(parts.settings.callers, forwarder())
    private val readiness = server(parts.settings.readiness, CallerHandler { it.respond(readinessAnswer()) })
    private val metrics = server(parts.settings.metrics, ::metricsAnswer)

    @Volatile
    private var leaving = false

    @Volatile
    private var refusing = false

    /** True when the node knows the configuration and the servers, and does not leave. */
    public val isReady: Boolean
        get() = !leaving && parts.routeTable.current != null && parts.directory.isLoaded

    /** Begins to listen; the port for callers. */
    public suspend fun start(): Int {
        readiness.start()
        metrics.start()
        return callers.start()
    }

    /** Follows the list of servers: forgets those that are gone, and listens to the engines among the others. */
    public fun updateServers() {
        val view = parts.directory.view
        chooser.retain(view)
        connections.retain(view)
        engines.follow(view.servers.mapNotNull(::watched))
    }

    private fun watched(server: BackendServer): WatchedEngine? {
        val shape = parts.routeTable.current?.services?.get(server.service)?.engine ?: return null
        return WatchedEngine(server, shape).takeIf {
            parts.limits.mayPollReports(server.instance.id, shape.maxReportPollers)
        }
    }

    /**
     * Stops within [grace]. The node says at once that it is not ready, serves on while callers are sent elsewhere,
     * then refuses new requests as not run, and returns when what runs has ended or the time is nearly up.
     */
    public suspend fun shutDown(grace: Duration) {
        val start = parts.clock.now()
        leaving = true
        callers.announceLeaving()
        while (parts.clock.now() - start < grace * SERVING_SHARE) delay(POLL)
        callers.stopListening()
        refusing = true
        while (parts.clock.now() - start < grace * ENDING_SHARE) {
            callers.closeIdle()
            if (callers.openRequests() == 0) return
            delay(POLL)
        }
    }

    private fun forwarder(): CallerHandler {
        val gate = CallGate(parts.routeTable, parts.headerCodec, parts.limits::maxKeyStaleness)
        val tools = AttemptTools(parts.headerCodec, parts.directory, connections, parts.clock, ForwardSettings())
        val forwardParts = ForwardParts(
            directory = parts.directory,
            chooser = chooser,
            allowance = NodeRetryBudget(parts.limits::retryRule, parts.limits::nodeCount),
            dialect = parts.headerCodec,
            answers = answers,
            usage = parts.usage,
            log = log,
            clock = parts.clock,
            freeHandle = releases::free,
        )
        return Forwarder(forwardParts, gate, tools) { refusing }
    }

    private fun server(listen: ListenSettings, handler: CallerHandler) =
        CallerServer(thread, ServerAddress(listen.host, listen.port), parts.clock, ::bounds, answers, handler)

    private fun bounds(): ConnectionLimits {
        val limits = parts.routeTable.current?.limits ?: CallerLimits()
        return ConnectionLimits(
            limits.headerBytes,
            limits.bodyBytes,
            limits.headerTimeout.inWholeMilliseconds,
            limits.idleTimeout.inWholeMilliseconds,
        )
    }

    private fun readinessAnswer() = CallerResponse(if (isReady) OK else UNAVAILABLE, DefaultHttpHeaders(), ByteArray(0))

    private suspend fun metricsAnswer(exchange: CallerExchange) {
        val headers = DefaultHttpHeaders().set("Content-Type", "text/plain; version=0.0.4")
        exchange.respond(CallerResponse(OK, headers, parts.registry.scrape().encodeToByteArray()))
    }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503

        /** The balancer needs two questions, a second apart, to send callers elsewhere. */
        const val SERVING_SHARE = 0.33
        const val ENDING_SHARE = 0.82
        val POLL: Duration = 25.milliseconds
    }
}
