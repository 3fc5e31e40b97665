package org.persimmonrelay.node

import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.persimmonrelay.backend.BackendDirectory
import org.persimmonrelay.backend.NodeLocation
import org.persimmonrelay.backend.RetryBudgetPolicy
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.forward.ForwardLimits
import org.persimmonrelay.forward.ForwardServer
import org.persimmonrelay.forward.ForwardServerDependencies
import org.persimmonrelay.http.EventLoopThread
import org.persimmonrelay.http.ServerAddress
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.load.LoadExchange
import org.persimmonrelay.load.UdpLoadReportTransport
import org.persimmonrelay.load.loadReportRecipients
import org.persimmonrelay.membership.NodePeer
import org.persimmonrelay.membership.Rendezvous
import org.persimmonrelay.platform.FeedTable
import org.persimmonrelay.platform.RowFollower
import org.persimmonrelay.platform.RowListener
import org.persimmonrelay.platform.StoreHealth
import org.persimmonrelay.route.ActiveRouteTable
import org.persimmonrelay.settings.RelaySettings
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with
import kotlin.time.Duration.Companion.milliseconds

/**
 * A node that forwards callers' requests to backend servers by the operator's routes. Control runs on [control],
 * traffic on a thread of its own.
 */
public class RelayNode(
    settings: RelaySettings,
    private val ports: RelayDependencies,
    private val control: EventLoopThread,
    private val clock: Clock,
    private val events: EventSink,
    private val identity: NodeIdentity,
) {
    @Volatile
    private var settings = settings
    private val place = NodeLocation(settings.domain, settings.region, settings.regions)
    private val traffic = EventLoopThread("traffic")
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val directory = BackendDirectory(events)
    private val tables = ActiveRouteTable(events)
    private val health: StoreHealth = StoreHealth(events) { directory.storeRecovered(it) }
    private val self =
        NodePeer(settings.node, settings.domain, ServerAddress(settings.peers.host, settings.peers.port))
    private val duties = RelayDuties(self, settings.bounds, ports, identity, clock, events, tables, directory)
    private val server =
        ForwardServer(
            ForwardServerDependencies(
                settings = settings,
                place = place,
                routeTable = tables,
                directory = directory,
                headerCodec = ports.headerCodec,
                engineReports = ports.engineReports,
                usage = duties.usageMeter,
                limits = forwardLimits(),
                clock = clock,
                events = events,
                registry = registry,
            ),
            traffic,
        )
    private val loadTransport = UdpLoadReportTransport(traffic, self.address, events)
    private val loads = LoadExchange(
        self = self.node,
        incarnation = identity.incarnation,
        chooser = server.chooser,
        transport = loadTransport,
        recipients = { loadReportRecipients(place, duties.membership.peers) },
        clock = clock,
        events = events,
    )

    /** Listens and begins to follow the store. The node is ready once it knows the configuration and the servers. */
    public suspend fun start() {
        events.record(NodeEvent.NODE_STARTING, "node" with settings.node, "incarnation" with identity.incarnation)
        withContext(traffic.dispatcher) {
            loadTransport.start(loads::receive)
            server.start()
        }
        traffic.scope.launch { loads.run() }
        follow(FeedTable.CONFIGURATION, ConfigurationListener(ports.reader, tables))
        follow(FeedTable.BACKEND_SERVERS, ServerListener(ports.reader, directory, { health }, clock))
        control.scope.launch { keepHouse() }
        duties.start(control.scope)
        control.scope.launch { awaitReady() }
    }

    /** Takes over the bounds of [changed]. */
    public fun reload(changed: RelaySettings) {
        settings = changed
        events.record(NodeEvent.SETTINGS_RELOADED, "bounds" with changed.bounds)
    }

    /** Leaves within the grace period: refuses new work at first softly, ends what runs, hands over. */
    public suspend fun stop() {
        events.record(NodeEvent.NODE_LEAVING)
        val end = clock.now() + settings.bounds.grace * STOPPING_SHARE
        withContext(traffic.dispatcher) { server.shutDown(settings.bounds.grace) }
        withContext(control.dispatcher) { duties.leave(patience = end - clock.now()) }
        events.record(NodeEvent.NODE_STOPPED)
        traffic.close()
    }

    private fun follow(table: FeedTable, listener: RowListener) {
        val follower = RowFollower(ports.feed, table, listener, health, clock, events)
        control.scope.launch { follower.run() }
    }

    private suspend fun keepHouse() {
        while (true) {
            delay(HOUSEKEEPING)
            clock.now().let { directory.expireLapsed(health.mayHaveLapsed(it), it) }
            withContext(traffic.dispatcher) { server.updateServers() }
        }
    }

    private suspend fun awaitReady() {
        while (!server.isReady) delay(READY_CHECK)
        events.record(NodeEvent.NODE_READY, "version" with tables.current?.version)
    }

    private fun forwardLimits() = object : ForwardLimits {
        override fun retryRule() = settings.bounds.let {
            RetryBudgetPolicy(it.retryRatio, it.retryMinimum, it.retryWindow)
        }

        override fun maxKeyStaleness() = settings.bounds.keyBound

        override fun nodeCount() = duties.membership.live.size

        override fun mayPollReports(server: ServerId, maxPollers: Int) =
            settings.node in Rendezvous.pickNodes(server.value, duties.membership.live, maxPollers - SPARE_WATCHERS)
    }

    private companion object {
        /** Places at each engine that are left to nodes which see other nodes than this one does. */
        const val SPARE_WATCHERS = 2

        /** Part of the grace period after which the node ends in any case. */
        const val STOPPING_SHARE = 0.9
        val HOUSEKEEPING = 250.milliseconds
        val READY_CHECK = 20.milliseconds
    }
}
