package org.persimmonrelay.node

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import org.persimmonrelay.admin.AdminServer
import org.persimmonrelay.admin.CatalogRoutes
import org.persimmonrelay.admin.OperatorGate
import org.persimmonrelay.admin.StatusRoutes
import org.persimmonrelay.catalog.Deployment
import org.persimmonrelay.catalog.KeyFactory
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.clock.SystemClock
import org.persimmonrelay.engine.EngineTimeouts
import org.persimmonrelay.engine.KtorEngineClient
import org.persimmonrelay.entry.CallerAccess
import org.persimmonrelay.entry.EntryParts
import org.persimmonrelay.entry.EntryServer
import org.persimmonrelay.entry.EntrySettings
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.membership.MemberState
import org.persimmonrelay.once.ClaimSweep
import org.persimmonrelay.once.TableOnceManager
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
import kotlin.time.Duration.Companion.seconds

/** One node: wires the parts, starts them in order and stops them gracefully. */
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
    private val once =
        TableOnceManager(
            table = platform.reliableTable,
            scope = traffic,
            clock = clock,
            node = core.node,
            incarnation = core.incarnation,
            liveness = ::isAlive,
            newOperation = core.operations::next,
            events = core.events,
        )
    private val usage = UsageRecorder(platform.reliableTable, clock, core.incarnation, core.events)
    private val loads = EngineLoads(engines, core.catalog.state, core.summaries)
    private val upkeep = UpkeepDuties(core.leases, windowClosers(), claimSweep())
    private val entry = EntryServer(entrySettings(), entryParts())
    private val admin =
        AdminServer(
            listen = settings.admin,
            gate = OperatorGate(core.catalog.keys, core.catalog.digester, clock, secrets.operatorKey),
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

    /** Joins the others, loads the configuration and begins to serve. */
    public suspend fun start(): NodeAddresses {
        core.events.record(NodeEvent.NODE_STARTING, "node" with core.node, "incarnation" with core.incarnation)
        core.join()
        once.start()
        usage.start(control.scope)
        control.scope.launch { loads.run() }
        upkeep.start(control.scope)
        val adminPort = admin.start()
        core.catalog.follower.ready.first { it }
        val entryPort = entry.start()
        core.events.record(NodeEvent.NODE_READY, "version" with core.catalog.state.current.version)
        return NodeAddresses("${settings.entry.host}:$entryPort", "${settings.admin.host}:$adminPort")
    }

    /** Leaves: ends what runs, hands over duties, tells the others. */
    public suspend fun stop() {
        core.events.record(NodeEvent.NODE_LEAVING, "open" with entry.openRequests)
        core.membership.leave()
        entry.stop(settings.bounds.drainSeconds.seconds)
        usage.flush()
        core.leases.leave()
        admin.stop()
        core.membership.left()
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

    private fun windowClosers(): List<WindowCloser> {
        val settings = UsageSettings()
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
        bodyBytes = settings.bounds.bodyBytes,
        headerBytes = settings.bounds.headerBytes,
        openStreams = settings.bounds.openStreams,
    )

    private fun entryParts() = EntryParts(
        incarnation = core.incarnation,
        clock = clock,
        access = CallerAccess(core.catalog.state, core.catalog.keys, core.catalog.withdrawals),
        engine = engines,
        once = once,
        usage = usage,
        events = core.events,
        registry = core.registry,
        loads = core.summaries.reports,
        leaving = core.hostWatch.leaving,
        dispatcherFactory = ::dispatcherFor,
    )

    private fun dispatcherFor(deployment: Deployment): Dispatcher = ExpectedTimeDispatcher(
        RoutingSettings(region = settings.region, betweenTokensMillis = deployment.betweenTokensMillis),
        Random(random.nextLong()),
    )
}
