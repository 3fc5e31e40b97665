package org.persimmonrelay.node

import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlinx.coroutines.launch
import org.persimmonrelay.catalog.CatalogDependencies
import org.persimmonrelay.catalog.CatalogOptions
import org.persimmonrelay.catalog.CatalogService
import org.persimmonrelay.catalog.OperationIdGenerator
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.Region
import org.persimmonrelay.lease.HolderId
import org.persimmonrelay.lease.LeaseManager
import org.persimmonrelay.lease.LeaseTerms
import org.persimmonrelay.lease.MembershipEvidence
import org.persimmonrelay.lease.STEP_DOWN
import org.persimmonrelay.membership.DrainingServers
import org.persimmonrelay.membership.EngineLoadGossip
import org.persimmonrelay.membership.HostListWatcher
import org.persimmonrelay.membership.NodeDescriptor
import org.persimmonrelay.membership.SeedRepository
import org.persimmonrelay.membership.SwimGossip
import org.persimmonrelay.membership.SwimMembership
import org.persimmonrelay.membership.TimelineCollector
import org.persimmonrelay.peer.GrpcPeerNetwork
import org.persimmonrelay.settings.NodeSettings
import org.persimmonrelay.timeline.HybridClock
import org.persimmonrelay.timeline.TimelineRing
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** Components that all services of a node use: identity, events, peers, membership, configuration and leases. */
internal class NodeCore(
    private val settings: NodeSettings,
    secrets: NodeSecrets,
    val clock: Clock,
    val random: Random,
    val platform: PlatformClients,
    val control: ControlThread,
) {
    val node = NodeId(settings.node)
    val incarnation = Incarnation(OperationIdGenerator(random).next().value)
    val operations = OperationIdGenerator(random)
    val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    private val hybridClock = HybridClock()
    val events = TimelineRing(node, incarnation, settings.bounds.timelineEvents, clock, hybridClock)
    val network = GrpcPeerNetwork(node, incarnation, settings.peer, clock, events, hybridClock)
    private val address = network.start()

    val membership =
        SwimMembership(
            self = NodeDescriptor(address, FailureDomain(settings.domain), Region(settings.region)),
            network = network,
            seeds = SeedRepository(platform.table, random),
            clock = clock,
            random = random,
            events = events,
            control = control.dispatcher,
        )
    val gossip = SwimGossip(membership, network, random, events, control.dispatcher)
    val summaries = EngineLoadGossip(membership, gossip)
    val hostWatch = HostListWatcher(platform.hosts, membership, DrainingServers(node, gossip, events), gossip, clock)
    val timeline = TimelineCollector(events, membership, network)
    val catalog =
        CatalogService(
            dependencies = catalogDependencies(),
            scope = control.scope,
            keySecret = secrets.keyDigest,
            options = CatalogOptions.of(settings.bounds.configPollMillis, settings.bounds.keyFreshnessSeconds),
        )
    val leaseTerms =
        LeaseTerms(
            duration = settings.bounds.leaseSeconds.seconds,
            tolerance = settings.bounds.leaseToleranceSeconds.seconds,
        )
    val leases =
        LeaseManager(
            table = platform.reliableTable,
            self = HolderId(node, incarnation),
            clock = clock,
            random = random,
            evidence = MembershipEvidence(membership, network),
            liveNodes = ::liveNodes,
            newOperation = operations::next,
            terms = leaseTerms,
            events = events,
        )

    /** Serves peers, joins the cluster and follows the configuration. Returns once the node is a member. */
    suspend fun join() {
        catalog.register()
        timeline.serve()
        network.serve(STEP_DOWN) { leases.stepDown(it) }
        membership.join(control.scope)
        gossip.start(control.scope, membership.generation)
        control.scope.launch { hostWatch.run() }
        catalog.start()
    }

    private val allPresentNodes = PresentNodes(membership) { true }

    /** Nodes whose membership state is present; the same list object until it changes. */
    fun liveNodes(): List<NodeId> = allPresentNodes.current()

    private fun catalogDependencies() =
        CatalogDependencies(platform.reliableTable, platform.objects, network, membership, clock, random, events)
}
