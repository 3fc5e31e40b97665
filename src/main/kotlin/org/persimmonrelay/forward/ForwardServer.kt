package org.persimmonrelay.forward

import io.netty.handler.codec.http.DefaultHttpHeaders
import kotlinx.coroutines.delay
import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.backend.BackendView
import org.persimmonrelay.backend.NearbyServers
import org.persimmonrelay.backend.NodeRetryBudget
import org.persimmonrelay.backend.ServerChooser
import org.persimmonrelay.backend.ServerRequestLimits
import org.persimmonrelay.clock.Moment
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

/**
 * Serves callers, and readiness and metrics on addresses of their own. Confined to [thread], the traffic thread.
 */
public class ForwardServer(private val dependencies: ForwardServerDependencies, private val thread: EventLoopThread) {
    /** Decides which server gets a request; its calls belong to [thread]. */
    public val chooser: ServerChooser = ServerChooser(dependencies.place)
    private val pools = ServerConnectionPools(
        HttpConnector(thread, dependencies.clock),
        dependencies.limits::nodeCount,
        chooser::running,
    )

    /** The limits that servers name; its calls belong to [thread]. */
    public val requestLimits: ServerRequestLimits =
        ServerRequestLimits(dependencies.settings.node, dependencies.limits::limitSharers, dependencies.events)
    private val nearbyServers = NearbyServers(dependencies.settings.node, dependencies.place)
    private val forwardMetrics = ForwardMetrics(dependencies.registry)
    private val notices =
        ServerNotices(dependencies.directory, requestLimits, forwardMetrics, dependencies.clock)
    private val client = ServerClient(pools, dependencies.headerCodec, dependencies.clock)
    private val handleReleaser = KvHandleReleaser(thread.scope, client, dependencies.headerCodec, dependencies.events)
    private val reportPoller =
        EngineReportPoller(
            thread.scope,
            client,
            dependencies.engineReports,
            chooser,
            notices,
            dependencies.clock,
            dependencies.events,
        )
    private val demandLog = DemandLog(dependencies.events)
    private val log = RequestLog(dependencies.events, forwardMetrics)
    private val errorResponses = ForwardErrorResponses(dependencies.headerCodec, log::unreadable)
    private val forwarder = forwarder()
    private val callers = server(dependencies.settings.callers, forwarder)
    private val readiness = server(dependencies.settings.readiness, CallerHandler { it.respond(readinessResponse()) })
    private val metrics = server(dependencies.settings.metrics, ::metricsResponse)

    @Volatile
    private var draining = false

    @Volatile
    private var rejecting = false

    /** True when the node has loaded the configuration and the servers, and is not shutting down. */
    public val isReady: Boolean
        get() = !draining && dependencies.routeTable.current != null && dependencies.directory.isLoaded

    /** Starts to listen on all addresses and returns the port for callers. */
    public suspend fun start(): Int {
        readiness.start()
        metrics.start()
        return callers.start()
    }

    /**
     * Applies the current list of servers: drops state of removed servers and polls the engines among the others. Logs
     * the demand on them from time to time.
     */
    public fun updateServers() {
        val view = dependencies.directory.view
        chooser.retain(view)
        pools.retain(view)
        requestLimits.retain(view)
        reportPoller.setEngines(polledEngines(view))
        demandLog.observe(chooser.demand(), dependencies.clock.now())
    }

    private fun polledEngines(view: BackendView): List<PolledEngine> =
        view.services.flatMap { nearbyServers.of(view, it).preferred }.mapNotNull(::polledEngine)

    private fun polledEngine(server: BackendServer): PolledEngine? {
        val spec = dependencies.routeTable.current?.services?.get(server.service)?.engine ?: return null
        return PolledEngine(server, spec).takeIf {
            dependencies.limits.mayPollReports(server, spec.maxReportPollers)
        }
    }

    /**
     * Shuts down within [grace]. The node reports at once that it is not ready and still accepts requests while the
     * balancer moves callers to other nodes. Then it refuses new requests as not run, and returns when all running
     * requests have ended. Those that still run after [DRAIN_SHARE] of [grace] get an answer that says so.
     */
    public suspend fun shutDown(grace: Duration) {
        val start = dependencies.clock.now()
        draining = true
        callers.startDraining()
        val accepting = minOf(grace * ACCEPTING_SHARE, MAX_ACCEPTING)
        while (dependencies.clock.now() - start < accepting) delay(POLL_INTERVAL)
        callers.stopListening()
        rejecting = true
        if (hasDrained(start + grace * DRAIN_SHARE)) return
        forwarder.endAll()
        hasDrained(start + grace * END_SHARE)
    }

    /** True once no request runs; false if some still do at [deadline]. */
    private suspend fun hasDrained(deadline: Moment): Boolean {
        while (true) {
            callers.closeIdle()
            if (callers.activeRequests() == 0) return true
            if (dependencies.clock.now() >= deadline) return false
            delay(POLL_INTERVAL)
        }
    }

    private fun forwarder(): Forwarder {
        val admission =
            RequestAdmission(
                dependencies.routeTable,
                dependencies.headerCodec,
                dependencies.limits::maxKeyStaleness,
            )
        val attemptDependencies =
            AttemptDependencies(
                dependencies.headerCodec,
                dependencies.directory,
                pools,
                requestLimits,
                notices,
                dependencies.clock,
                ForwardSettings(),
            )
        val forwardDependencies = ForwardDependencies(
            directory = dependencies.directory,
            nearbyServers = nearbyServers,
            chooser = chooser,
            retryBudget = NodeRetryBudget(dependencies.limits::retryRule, dependencies.limits::nodeCount),
            requestGuard = requestGuard(),
            codec = dependencies.headerCodec,
            errorResponses = errorResponses,
            usage = dependencies.usage,
            log = log,
            clock = dependencies.clock,
            releaseHandle = handleReleaser::free,
        )
        return Forwarder(forwardDependencies, admission, attemptDependencies) { rejecting }
    }

    private fun requestGuard() =
        RequestGuard(thread.scope, pools, dependencies.directory, dependencies.quarantine, dependencies.clock)

    private fun server(listen: ListenSettings, handler: CallerHandler) = CallerServer(
        thread,
        ServerAddress(listen.host, listen.port),
        dependencies.clock,
        ::connectionLimits,
        errorResponses,
        handler,
    )

    private fun connectionLimits(): ConnectionLimits {
        val limits = dependencies.routeTable.current?.limits ?: CallerLimits()
        return ConnectionLimits(
            limits.headerBytes,
            limits.bodyBytes,
            limits.headerTimeout.inWholeMilliseconds,
            limits.idleTimeout.inWholeMilliseconds,
        )
    }

    private fun readinessResponse() =
        CallerResponse(if (isReady) OK else UNAVAILABLE, DefaultHttpHeaders(), ByteArray(0))

    private suspend fun metricsResponse(exchange: CallerExchange) {
        val headers = DefaultHttpHeaders().set("Content-Type", "text/plain; version=0.0.4")
        exchange.respond(CallerResponse(OK, headers, dependencies.registry.scrape().encodeToByteArray()))
    }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503

        /**
         * Share of the grace period during which new requests are accepted. The balancer needs two readiness checks,
         * a second apart, to send callers to other nodes.
         */
        const val ACCEPTING_SHARE = 0.33

        /** The longest such time; a request that is accepted later may not end before the node does. */
        val MAX_ACCEPTING: Duration = 2_700.milliseconds

        /** Five sixths, for which running responses must not be cut, and a little more. */
        const val DRAIN_SHARE = 0.84

        /** Share of the grace period after which the node stops, whatever still runs. */
        const val END_SHARE = 0.88
        val POLL_INTERVAL: Duration = 25.milliseconds
    }
}
