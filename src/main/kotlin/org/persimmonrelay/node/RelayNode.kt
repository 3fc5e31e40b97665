package org.persimmonrelay.node

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.persimmonrelay.backend.BackendDirectory
import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.backend.NodeLocation
import org.persimmonrelay.backend.RetryBudgetPolicy
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.forward.ForwardLimits
import org.persimmonrelay.forward.ForwardServer
import org.persimmonrelay.forward.ForwardServerDependencies
import org.persimmonrelay.http.EventLoopThread
import org.persimmonrelay.http.ServerAddress
import org.persimmonrelay.load.DemandExchange
import org.persimmonrelay.load.FollowedFeeds
import org.persimmonrelay.load.LoadExchange
import org.persimmonrelay.load.LoadReportRecipients
import org.persimmonrelay.load.UdpLoadReportTransport
import org.persimmonrelay.load.loadReportRecipients
import org.persimmonrelay.membership.UdpPeer
import org.persimmonrelay.platform.FeedTable
import org.persimmonrelay.platform.NewestChanges
import org.persimmonrelay.platform.RowFollower
import org.persimmonrelay.platform.RowFollowerSettings
import org.persimmonrelay.platform.RowListener
import org.persimmonrelay.platform.StoreHealth
import org.persimmonrelay.quarantine.RequestQuarantine
import org.persimmonrelay.route.ActiveRouteTable
import org.persimmonrelay.settings.RelaySettings
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.launchSupervised
import org.persimmonrelay.timeline.with
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A node that forwards callers' requests to backend servers according to the configured routes. Control work runs on
 * [control], request traffic on a separate thread.
 */
public class RelayNode(
    settings: RelaySettings,
    private val dependencies: RelayDependencies,
    private val control: EventLoopThread,
    private val clock: Clock,
    private val events: EventSink,
    private val identity: NodeIdentity,
) {
    @Volatile
    private var settings = settings
    private val location = NodeLocation(settings.domain, settings.region, settings.regions)
    private val traffic = EventLoopThread("traffic")
    private val directory = BackendDirectory(events)
    private val tables = ActiveRouteTable(events)
    private val health: StoreHealth =
        StoreHealth(events, onLost = { followers.forEach { it.storeLost() } }) { directory.storeRecovered(it) }
    private val configurationFollower =
        newFollower(FeedTable.CONFIGURATION, ConfigurationListener(dependencies.reader, tables))
    private val serverFollower =
        newFollower(FeedTable.BACKEND_SERVERS, ServerListener(dependencies.reader, directory, { health }, clock))
    private val quarantine = RequestQuarantine(events)
    private val quarantineFollower =
        newFollower(FeedTable.QUARANTINE, quarantineListener())
    private val followers = listOf(configurationFollower, serverFollower, quarantineFollower)
    private val self =
        UdpPeer(settings.node, settings.domain, ServerAddress(settings.peers.host, settings.peers.port))
    private val duties: RelayDuties =
        RelayDuties(
            self,
            settings.bounds,
            dependencies,
            identity,
            clock,
            events,
            health,
            quarantine,
            traffic.dispatcher,
            ScaleInputs(tables, directory, settings.regions, demandSource()),
        )
    private val limitSharers = LimitSharers(settings.node, location)
    private val pollerAssignment = ReportPollerAssignment(settings.node, location)
    private val server =
        ForwardServer(
            ForwardServerDependencies(
                settings = settings,
                routeTable = tables,
                directory = directory,
                headerCodec = dependencies.headerCodec,
                engineReports = dependencies.engineReports,
                usage = duties.usageMeter,
                quarantine = quarantine,
                limits = forwardLimits(),
                clock = dependencies.wallClock,
                events = events,
                registry = dependencies.registry,
            ),
            traffic,
        )
    private val loadTransport = UdpLoadReportTransport(traffic, self.address, events)
    private val loads = LoadExchange(
        self = self.node,
        incarnation = identity.incarnation,
        chooser = server.chooser,
        limits = server.requestLimits,
        transport = loadTransport,
        recipients = ::reportRecipients,
        sharesCaches = { reportRecipients().near.size >= MIN_NODES_TO_SHARE },
        feeds = followedFeeds(),
        clock = clock,
        events = events,
    )

    private val demandExchange = DemandExchange(
        self = self,
        incarnation = identity.incarnation,
        demand = server.chooser::demand,
        peers = { duties.membership.peers },
        transport = loadTransport,
        clock = clock,
        events = events,
    )

    /**
     * Opens the listeners and starts to follow the store. Doesn't wait until the node is ready, that is, until it has
     * read the configuration and the backend servers.
     */
    public suspend fun start() {
        events.record(NodeEvent.NODE_STARTING, "node" with settings.node, "incarnation" with identity.incarnation)
        withContext(traffic.dispatcher) {
            loadTransport.start { if (!demandExchange.receive(it)) loads.receive(it) }
            server.start()
        }
        traffic.scope.launchSupervised("load reports", events) { loads.run() }
        followers.forEach { control.scope.launchSupervised("feed", events) { it.run() } }
        control.scope.launchSupervised("housekeeping", events) { runHousekeeping() }
        duties.start(control.scope)
        control.scope.launch { awaitReady() }
    }

    /** Applies the bounds of [changed]; addresses stay as they were at the start. */
    public fun reload(changed: RelaySettings) {
        settings = changed
        events.record(NodeEvent.SETTINGS_RELOADED, "bounds" with changed.bounds)
    }

    /** Shuts down within the grace period: drains the forward server, then stores usage and deregisters the node. */
    public suspend fun stop() {
        events.record(NodeEvent.NODE_LEAVING)
        val deadline = clock.now() + settings.bounds.grace * SHUTDOWN_FRACTION
        withContext(traffic.dispatcher) { server.shutDown(settings.bounds.grace) }
        withContext(control.dispatcher) { duties.shutDown(timeout = deadline - clock.now()) }
        events.record(NodeEvent.NODE_STOPPED, "platformCalls" with callCounts())
        traffic.close()
    }

    private fun quarantineListener() = QuarantineListener(dependencies.reader, control.scope) { duties.ledgerExchange }

    private fun demandSource() = DemandSource { withContext(traffic.dispatcher) { demandExchange.collect() } }

    private fun newFollower(table: FeedTable, listener: RowListener): RowFollower {
        val settings = RowFollowerSettings(::pollTimeout, ::changePause)
        return RowFollower(dependencies.feed, table, listener, health, clock, events, settings)
    }

    private fun pollTimeout(): Duration =
        feedPollTimeout(reportRecipients().count, settings.bounds.keyBound, identity.random)

    /** Grows with the nodes, as the calls of all of them do; short against the time in which a change must be heard. */
    private fun changePause(): Duration =
        (CHANGE_PAUSE_PER_NODE * duties.membership.liveNodes.size).coerceAtMost(MAX_CHANGE_PAUSE)

    private fun reportRecipients(): LoadReportRecipients =
        loadReportRecipients(self.node, location, duties.membership.peers)

    private fun followedFeeds() = object : FollowedFeeds {
        override val newestChanges: NewestChanges
            get() = NewestChanges.of { follower(it).newestChange }

        override fun changesSeenElsewhere(changes: NewestChanges) =
            FeedTable.entries.forEach { follower(it).changeSeenElsewhere(changes.of(it)) }
    }

    private fun follower(table: FeedTable): RowFollower = when (table) {
        FeedTable.CONFIGURATION -> configurationFollower
        FeedTable.BACKEND_SERVERS -> serverFollower
        FeedTable.QUARANTINE -> quarantineFollower
    }

    /** Calls to the platform since the start, by path and outcome. */
    private fun callCounts(): String = dependencies.registry.find("persimmonrelay.platform.calls").counters()
        .joinToString { "${it.id.getTag("path")} ${it.id.getTag("outcome")}: ${it.count().toLong()}" }

    private suspend fun runHousekeeping() {
        while (true) {
            delay(HOUSEKEEPING_INTERVAL)
            clock.now().let { directory.expireLapsed(health.entriesMayHaveExpired(it), it) }
            withContext(traffic.dispatcher) { server.updateServers() }
        }
    }

    private suspend fun awaitReady() {
        while (!server.isReady) delay(READY_POLL_INTERVAL)
        events.record(NodeEvent.NODE_READY, "version" with tables.current?.version)
    }

    private fun forwardLimits() = object : ForwardLimits {
        override fun retryRule() = settings.bounds.let {
            RetryBudgetPolicy(it.retryRatio, it.retryMinimum, it.retryWindow)
        }

        override fun maxKeyStaleness() = settings.bounds.keyBound

        override fun limitSharers(server: BackendServer) = limitSharers.of(server, duties.membership.peers)

        override fun nodeCount() = duties.membership.liveNodes.size

        override fun mayPollReports(server: BackendServer, maxPollers: Int) =
            pollerAssignment.isPoller(server, maxPollers - RESERVED_POLLERS, duties.membership.peers)
    }

    private companion object {
        /** Poller slots at each engine left free for nodes whose view of the live nodes differs from this node's. */
        const val RESERVED_POLLERS = 2

        /** With fewer nodes in the region, each can poll every engine itself. */
        const val MIN_NODES_TO_SHARE = 8

        /** Fraction of the grace period after which the node stops in any case. */
        const val SHUTDOWN_FRACTION = 0.92
        val CHANGE_PAUSE_PER_NODE = 10.milliseconds
        val MAX_CHANGE_PAUSE = 600.milliseconds
        val HOUSEKEEPING_INTERVAL = 250.milliseconds
        val READY_POLL_INTERVAL = 20.milliseconds
    }
}
