package org.persimmonrelay.standin

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.Region
import org.persimmonrelay.membership.DrainingServers
import org.persimmonrelay.membership.GossipSettings
import org.persimmonrelay.membership.MembershipEvent
import org.persimmonrelay.membership.NodeDescriptor
import org.persimmonrelay.membership.SeedRepository
import org.persimmonrelay.membership.SwimGossip
import org.persimmonrelay.membership.SwimMembership
import org.persimmonrelay.membership.SwimSettings
import org.persimmonrelay.peer.PeerAddress
import org.persimmonrelay.timeline.EventSink
import kotlin.random.Random
import kotlin.time.Duration

/** Membership and gossip of many simulated nodes in one thread and in virtual time, over a [FakePeerHub]. */
@OptIn(ExperimentalCoroutinesApi::class)
public class VirtualMesh(
    seed: Long,
    private val swim: SwimSettings = SwimSettings(),
    private val gossip: GossipSettings = GossipSettings(),
) {
    private val scheduler = TestCoroutineScheduler()
    private val dispatcher = StandardTestDispatcher(scheduler)
    private val scope = CoroutineScope(dispatcher + SupervisorJob())
    private var starts = 0

    /** Source of all random numbers of this mesh. */
    public val random: Random = Random(seed)

    public val hub: FakePeerHub = FakePeerHub(scope, random)
    public val table: StandInTable = StandInTable()
    public val nodes: MutableMap<NodeId, VirtualNode> = linkedMapOf()

    /** Called for each membership event, with the node that recorded it. */
    public var onEvent: (NodeId, MembershipEvent, Map<String, String>) -> Unit = { _, _, _ -> }

    public val clock: Clock = object : Clock {
        override fun now() = Moment(scheduler.currentTime * NANOS_PER_MILLI)

        override fun wallMillis() = scheduler.currentTime
    }

    /** Starts or restarts the node [name]; it joins while [advance] runs. */
    public fun start(name: String, region: String, domain: String = region): VirtualNode {
        val node = NodeId(name)
        nodes[node]?.let { kill(node) }
        val address = PeerAddress(node, Incarnation("$name-${starts++}"), "10.0.0.1", PORT)
        val place = NodeDescriptor(address, FailureDomain(domain), Region(region))
        return VirtualNode(place, build(place)).also { nodes[node] = it }
    }

    /** Stops [node] at once, like a crash. */
    public fun kill(node: NodeId) {
        val removed = nodes.remove(node) ?: return
        removed.components.network.stop()
        removed.components.scope.cancel()
    }

    /** Stops all work of [node] until [resume]. */
    public fun pause(node: NodeId) {
        nodes[node]?.components?.run {
            dispatcher.pause()
            network.pause()
        }
    }

    /** Resumes [node] after [pause]. */
    public fun resume(node: NodeId) {
        nodes[node]?.components?.run {
            dispatcher.resume()
            network.resume()
        }
    }

    /** Launches [work] in [node]'s scope; it runs while [advance] runs. */
    public fun run(node: VirtualNode, work: suspend () -> Unit) {
        node.components.scope.launch { work() }
    }

    /** Advances virtual time by [duration] and runs the tasks due. */
    public fun advance(duration: Duration) {
        scheduler.advanceTimeBy(duration)
        scheduler.runCurrent()
    }

    /** Stops all nodes. */
    public fun close() {
        nodes.values.forEach { it.components.scope.cancel() }
        scope.cancel()
        scheduler.advanceUntilIdle()
    }

    private fun build(place: NodeDescriptor): VirtualNodeComponents {
        val nodeDispatcher = PausableDispatcher(dispatcher)
        val nodeScope = CoroutineScope(nodeDispatcher + Job(scope.coroutineContext[Job]))
        val network = hub.join(place.address)
        val events = EventSink { code, fields ->
            if (code is MembershipEvent) onEvent(place.address.node, code, fields.associate { it.name to it.value })
        }
        val seeds = SeedRepository(table, Random(random.nextLong()))
        val membership =
            SwimMembership(place, network, seeds, clock, Random(random.nextLong()), events, nodeDispatcher, swim)
        val gossip = SwimGossip(membership, network, Random(random.nextLong()), events, nodeDispatcher, gossip)
        val drainingServers = DrainingServers(place.address.node, gossip, events)
        nodeScope.launch {
            membership.join(nodeScope)
            gossip.start(nodeScope, membership.generation)
        }
        return VirtualNodeComponents(network, nodeDispatcher, nodeScope, membership, gossip, drainingServers)
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val PORT = 7000
    }
}

/** A node of a [VirtualMesh]. */
public class VirtualNode internal constructor(
    public val place: NodeDescriptor,
    public val components: VirtualNodeComponents,
) {
    /** Names of the members that are serving according to this node. */
    public fun serving(): Set<NodeId> =
        components.membership.view.value.serving.mapTo(sortedSetOf(compareBy { it.value })) { it.address.node }
}

/** Components of a [VirtualNode]. */
public class VirtualNodeComponents internal constructor(
    public val network: FakePeerNetwork,
    internal val dispatcher: PausableDispatcher,
    internal val scope: CoroutineScope,
    public val membership: SwimMembership,
    public val gossip: SwimGossip,
    public val drainingServers: DrainingServers,
)
