package org.persimmonrelay.membership

import arrow.core.Either
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.serialization.KSerializer
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.Region
import org.persimmonrelay.peer.PeerAddress
import org.persimmonrelay.peer.PeerNetwork
import org.persimmonrelay.timeline.EventSink
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Periods and limits of gossip. */
public data class GossipSettings(
    /** Time between two exchanges that this node starts within its region. */
    val period: Duration = 1.seconds,
    /** Time between exchanges of a bridge node with each region assigned to it. */
    val regionPeriod: Duration = 2.seconds,
    /** Limit in bytes for the values in one message. */
    val maxMessageBytes: Int = MAX_MESSAGE_BYTES,
    /** Number of bridge nodes: nodes of a region that exchange aggregates with one given other region. */
    val bridgeNodes: Int = 2,
) {
    private companion object {
        const val MAX_MESSAGE_BYTES = 32 * 1024
    }
}

/**
 * [Gossip] by exchanges with random members, in which each side sends the values that the other lacks. All state is
 * confined to [control], the thread of [membership].
 */
public class SwimGossip(
    private val membership: Membership,
    private val network: PeerNetwork,
    private val random: Random,
    private val events: EventSink,
    private val control: CoroutineDispatcher,
    private val settings: GossipSettings = GossipSettings(),
) : Gossip {
    private val self = membership.view.value.self.address.node
    private val store = GossipStore(self)
    private val topics = LinkedHashMap<String, SwimGossipTopic<*>>()
    private var generation = 0L
    private var publishedVersion = -1L
    private var publishedView: MembershipView? = null
    private var presentNodesView: MembershipView? = null
    private var present: Set<NodeId> = emptySet()

    init {
        network.serve(GossipMethods.EXCHANGE) { request -> withContext(control) { respond(request) } }
        network.serve(GossipMethods.PUSH) { push -> withContext(control) { MergeAck(merge(push.updates)) } }
    }

    override fun <T : Any> topic(
        name: String,
        serializer: KSerializer<T>,
        aggregate: ((List<T>) -> T)?,
    ): GossipTopic<T> {
        check(name !in topics) { "The gossip topic $name is already open." }
        return SwimGossipTopic(name, serializer, aggregate, events).also { topics[name] = it }
    }

    /** Exchanges values until [scope] is cancelled. [generation] must increase with each start of this node. */
    public fun start(scope: CoroutineScope, generation: Long) {
        this.generation = generation
        scope.launch(control) { repeatEvery(settings.period) { gossipInRegion(scope) } }
        scope.launch(control) { repeatEvery(settings.regionPeriod) { gossipWithRegions(scope) } }
    }

    private suspend fun repeatEvery(period: Duration, work: () -> Unit) {
        delay(period * random.nextDouble())
        while (true) {
            work()
            delay(period)
        }
    }

    private fun gossipInRegion(scope: CoroutineScope) {
        removeDepartedNodes()
        publishOwn()
        updateTopics()
        val partner = localPeers().randomOrNull(random) ?: return
        scope.launch(control) { exchange(partner.address, aggregatesOnly = false) }
    }

    private fun gossipWithRegions(scope: CoroutineScope) {
        publishAggregates()
        val view = membership.view.value
        val localMembers = view.serving.filter { it.region == view.self.region }
        view.peers.filter { it.region != view.self.region }.groupBy { it.region }.forEach { (region, members) ->
            val bridges = Rendezvous.pick("gossip/${region.value}", localMembers, settings.bridgeNodes)
            if (bridges.none { it.address.node == self }) return@forEach
            val partner = members.random(random)
            scope.launch(control) { exchange(partner.address, aggregatesOnly = true) }
        }
    }

    private fun localPeers(): List<Member> {
        val view = membership.view.value
        return view.peers.filter { it.region == view.self.region }
    }

    private fun publishOwn() {
        topics.values.forEach { topic ->
            topic.takePending()?.let { store.publish(topic.name, it, aggregate = false, generation) }
        }
    }

    private fun publishAggregates() {
        val view = membership.view.value
        val localMembers = view.serving.filter { it.region == view.self.region }
        topics.values.filter { it.hasAggregate }.forEach { topic ->
            val isAggregator = aggregatorOf(topic.name, localMembers)?.address?.node == self
            val value =
                if (isAggregator) topic.aggregateOf(store.values(topic.name, aggregate = false).values) else null
            store.publish(topic.name, value, aggregate = true, generation)
        }
    }

    private fun aggregatorOf(topic: String, members: Collection<Member>): Member? =
        Rendezvous.best("aggregate/$topic", members)

    private suspend fun exchange(partner: PeerAddress, aggregatesOnly: Boolean) {
        val request = GossipRequest(store.digest(aggregatesOnly), aggregatesOnly)
        val response = network.call(partner, GossipMethods.EXCHANGE, request, CALL_TIMEOUT)
        val received = (response as? Either.Right ?: return).value
        merge(received.updates)
        if (received.wanted.isEmpty) return
        val updates = store.requested(received.wanted, settings.maxMessageBytes)
        if (updates.isNotEmpty()) network.call(partner, GossipMethods.PUSH, GossipPush(updates), CALL_TIMEOUT)
    }

    private fun respond(request: GossipRequest): GossipResponse = GossipResponse(
        store.newerThan(request.digest, request.aggregatesOnly, settings.maxMessageBytes),
        store.missing(request.digest),
    )

    private fun merge(updates: List<OriginUpdate>): Int {
        val present = presentNodes()
        val newer = store.merge(updates) { it in present }
        updateTopics()
        return newer
    }

    private fun removeDepartedNodes() {
        val present = presentNodes()
        store.retain { it in present }
    }

    private fun presentNodes(): Set<NodeId> {
        val view = membership.view.value
        if (view !== presentNodesView) present = view.peers.mapTo(HashSet()) { it.address.node }
        presentNodesView = view
        return present
    }

    private fun updateTopics() {
        val view = membership.view.value
        if (store.version == publishedVersion && view === publishedView) return
        publishedVersion = store.version
        publishedView = view
        val regionOf = view.members.associate { it.address.node to it.region }
        topics.values.forEach { updateTopics(it, view, regionOf) }
    }

    private fun updateTopics(topic: SwimGossipTopic<*>, view: MembershipView, regionOf: Map<NodeId, Region>) {
        topic.setLocal(store.values(topic.name, aggregate = false).filterKeys { regionOf[it] == view.self.region })
        if (!topic.hasAggregate) return
        val byRegion =
            store.values(topic.name, aggregate = true).entries
                .filter { regionOf[it.key] != null && regionOf[it.key] != view.self.region }
                .groupBy { regionOf.getValue(it.key) }
        topic.setRegions(
            byRegion.mapValues { (region, values) ->
                val designated = aggregatorOf(topic.name, view.serving.filter { it.region == region })?.address?.node
                (values.firstOrNull { it.key == designated } ?: values.minBy { it.key.value }).value
            },
        )
    }

    private companion object {
        val CALL_TIMEOUT = 900.milliseconds
    }
}
