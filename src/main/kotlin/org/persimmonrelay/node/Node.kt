package org.persimmonrelay.node

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.combine
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.persimmonrelay.admin.AdminServer
import org.persimmonrelay.admin.CatalogRoutes
import org.persimmonrelay.admin.OperatorAuthenticator
import org.persimmonrelay.admin.StatusRoutes
import org.persimmonrelay.catalog.Deployment
import org.persimmonrelay.catalog.KeyFactory
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.clock.SystemClock
import org.persimmonrelay.engine.EngineLoadReport
import org.persimmonrelay.engine.EngineTimeouts
import org.persimmonrelay.engine.KtorEngineClient
import org.persimmonrelay.entry.AccessControl
import org.persimmonrelay.entry.EntryDependencies
import org.persimmonrelay.entry.EntryServer
import org.persimmonrelay.entry.EntrySettings
import org.persimmonrelay.fleet.FleetClients
import org.persimmonrelay.fleet.FleetManager
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.membership.MemberState
import org.persimmonrelay.once.ClaimSweep
import org.persimmonrelay.once.TableIdempotencyManager
import org.persimmonrelay.routing.Dispatcher
import org.persimmonrelay.routing.ExpectedTimeDispatcher
import org.persimmonrelay.routing.RoutingSettings
import org.persimmonrelay.settings.NodeSettings
import org.persimmonrelay.timeline.with
import org.persimmonrelay.usage.UsageRecorder
import org.persimmonrelay.usage.UsageSettings
import org.persimmonrelay.usage.WindowCloser
import java.security.SecureRandom
import kotlin.random.Random
import kotlin.random.asKotlinRandom
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A serving node: creates its components, starts them in order and stops them gracefully. */
public class Node(
    private val settings: NodeSettings,
    secrets: NodeSecrets,
    private val clock: Clock = SystemClock,
    private val secureRandom: SecureRandom = SecureRandom(),
) {
    private val random = secureRandom.asKotlinRandom()
    private val control = ControlThread(settings.node)
    private val platform = PlatformClients(settings.platform, clock, random)
    private val core = NodeCore(settings, secrets, clock, random, platform, control)
    private val traffic = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val engines =
        KtorEngineClient(clock, EngineTimeouts(progress = settings.bounds.progressTimeoutSeconds.seconds))
    private val idempotencyManager =
        TableIdempotencyManager(
            table = platform.reliableTable,
            scope = traffic,
            clock = clock,
            node = core.node,
            incarnation = core.incarnation,
            liveness = ::isAlive,
            newOperation = core.operations::next,
            events = core.events,
        )
    private val usageSettings = UsageSettings(shards = settings.bounds.usageShards)
    private val usage =
        UsageRecorder(platform.reliableTable, clock, core.incarnation, core.events, usageSettings)
    private val latestLoads = MutableStateFlow<Map<ServerId, EngineLoadReport>>(emptyMap())
    private val unavailableServers = MutableStateFlow<Set<ServerId>>(emptySet())
    private val loadCollector = EngineLoadCollector(engines, core.catalog.state, core.summaries)
    private val loadReportOf = { server: ServerId -> latestLoads.value[server] }
    private val drainer =
        GossipServerDrainer(core.gossip, clock, loadReportOf, settings.bounds.drainSeconds.seconds)
    private val demand = DemandGossip(core.gossip)
    private val fleet =
        FleetManager(
            table = platform.reliableTable,
            leases = core.leases,
            clients = FleetClients(engines, platform.orders, platform.hosts, platform.weights),
            drainer = drainer,
            clock = clock,
            domains = ::engineDomains,
            newOperation = core.operations::next,
            orderWait = core.leaseTerms.duration + core.leaseTerms.tolerance + core.leaseTerms.messageLifetime,
            events = core.events,
        )
    private val roles =
        RoleDuty(core.leases, fleet, roleInputs(), clock)
    private val maintenance = MaintenanceDuties(core.leases, windowClosers(), claimSweep())
    private val entry = EntryServer(entrySettings(), entryDependencies())
    private val shareSummaries = ShareSummaryExchange(core.network, core.membership, entry.exchange, core.incarnation)
    private val admin =
        AdminServer(
            listen = settings.admin,
            authenticator =
            OperatorAuthenticator(core.catalog.keys, core.catalog.digester, clock, secrets.operatorKey),
            routes =
            listOf(
                StatusRoutes(core.catalog, core.membership, clock),
                TimelineRoutes(core.timeline),
                CatalogRoutes(
                    core.catalog.state,
                    core.catalog.manager,
                    KeyFactory(secureRandom, core.catalog.digester),
                ),
            ),
            events = core.events,
        )

    /** Joins the cluster, waits for the configuration and starts to serve callers. Returns the addresses in use. */
    public suspend fun start(): NodeAddresses {
        core.events.record(NodeEvent.NODE_STARTING, "node" with core.node, "incarnation" with core.incarnation)
        shareSummaries.serve()
        core.join()
        idempotencyManager.start()
        usage.start(control.scope)
        control.scope.launch { loadCollector.run() }
        control.scope.launch { core.summaries.reports.collect { latestLoads.value = it } }
        control.scope.launch { trackDrainingServers() }
        control.scope.launch { publishDemand() }
        control.scope.launch { shareSummaries.run() }
        roles.start(control.scope)
        maintenance.start(control.scope)
        val adminPort = admin.start()
        core.catalog.follower.ready.first { it }
        val entryPort = entry.start()
        core.events.record(NodeEvent.NODE_READY, "version" with core.catalog.state.current.version)
        return NodeAddresses("${settings.entry.host}:$entryPort", "${settings.admin.host}:$adminPort")
    }

    /** Announces the departure, finishes requests in flight, releases the leases and closes all connections. */
    public suspend fun stop() {
        core.events.record(NodeEvent.NODE_LEAVING, "open" with entry.openRequests)
        core.membership.leave()
        entry.stop(settings.bounds.drainSeconds.seconds)
        awaitOutcomes()
        usage.flush()
        core.leases.releaseAll()
        admin.stop()
        core.membership.completeLeave()
        core.events.record(NodeEvent.NODE_STOPPED)
        traffic.cancel()
        control.stop()
        engines.close()
        core.network.close()
        platform.close()
    }

    private fun isAlive(node: NodeId, incarnation: Incarnation) = core.membership.view.value.members.any {
        it.address.node == node && it.address.incarnation == incarnation && it.state == MemberState.ALIVE
    }

    /** Waits until the results of idempotent calls are recorded, for [OUTCOMES_TIMEOUT] at most. */
    private suspend fun awaitOutcomes() {
        withTimeoutOrNull(OUTCOMES_TIMEOUT) {
            while (idempotencyManager.openCalls > 0) delay(OUTCOMES_POLL_INTERVAL)
        }
    }

    private suspend fun trackDrainingServers() =
        core.hostWatch.drainingServers.combine(drainer.draining, Set<ServerId>::plus).collect {
            unavailableServers.value =
                it
        }

    private suspend fun publishDemand() {
        while (true) {
            demand.add(entry.exchange.takeDemand())
            delay(DEMAND_INTERVAL)
        }
    }

    private fun engineDomains(): Int {
        val view = core.catalog.state.current
        return view.deployments().flatMap(view::serversOf).distinctBy { it.domain }.size
    }

    private fun roleInputs(): RoleDutyInputs {
        val nodes = PresentNodes(core.membership) { it.region.value == settings.region }
        return RoleDutyInputs(settings.region, nodes::current, core.catalog.state, demand::total, loadReportOf)
    }

    private fun windowClosers(): List<WindowCloser> {
        val settings = usageSettings
        return (0 until settings.shards).map { shard ->
            WindowCloser(
                table = platform.reliableTable,
                reports = platform.usage,
                leases = core.leases,
                clock = clock,
                shard = shard,
                newOperation = core.operations::next,
                events = core.events,
                settings = settings,
            )
        }
    }

    private fun claimSweep() = ClaimSweep(platform.reliableTable, clock, core.operations::next, core.events)

    private fun entrySettings() = EntrySettings(
        host = settings.entry.host,
        port = settings.entry.port,
        maxBodyBytes = settings.bounds.bodyBytes,
        maxHeaderBytes = settings.bounds.headerBytes,
        maxOpenRequests = settings.bounds.openStreams,
    )

    private fun entryDependencies() = EntryDependencies(
        incarnation = core.incarnation,
        clock = clock,
        access = AccessControl(core.catalog.state, core.catalog.keys, core.catalog.keyStates),
        engine = engines,
        once = idempotencyManager,
        usage = usage,
        events = core.events,
        registry = core.registry,
        loads = core.summaries.reports,
        drainingServers = unavailableServers,
        dispatcherFactory = ::dispatcherFor,
    )

    private fun dispatcherFor(deployment: Deployment): Dispatcher = ExpectedTimeDispatcher(
        RoutingSettings(region = settings.region, betweenTokensMillis = deployment.betweenTokensMillis),
        Random(random.nextLong()),
    )

    private companion object {
        val DEMAND_INTERVAL = 1.seconds
        val OUTCOMES_TIMEOUT = 10.seconds
        val OUTCOMES_POLL_INTERVAL = 50.milliseconds
    }
}
