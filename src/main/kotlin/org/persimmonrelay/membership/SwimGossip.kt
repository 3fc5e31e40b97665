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

/** Periods and bounds of gossip. */
public data class GossipSettings(
    /** Time between two exchanges that this node begins. */
    val period: Duration = 1.seconds,
    /** Time between exchanges with each other region, by this region's nodes chosen for it. */
    val regionPeriod: Duration = 2.seconds,
    /** Bytes of values on one message. */
    val messageBytes: Int = MESSAGE_BYTES,
    /** Nodes of a region that speak with one other region. */
    val bridges: Int = 2,
) {
    private companion object {
        const val MESSAGE_BYTES = 32 * 1024
    }
}

/**
 * [Gossip] by exchanges with random members: each sends what the other lacks. State is touched on [control]
 * only, the thread of [membership].
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
    private var shownVersion = -1L
    private var shownMembers: MembershipView? = null
    private var presentIn: MembershipView? = null
    private var present: Set<NodeId> = emptySet()

    init {
        network.serve(GossipMethods.EXCHANGE) { request -> withContext(control) { answer(request) } }
        network.serve(GossipMethods.PUSH) { push -> withContext(control) { Taken(merge(push.updates)) } }
    }

    override fun <T : Any> topic(
        name: String,
        serializer: KSerializer<T>,
        aggregate: ((List<T>) -> T)?,
    ): GossipTopic<T> {
        check(name !in topics) { "The topic $name is open already." }
        return SwimGossipTopic(name, serializer, aggregate, events).also { topics[name] = it }
    }

    /** Exchanges until [scope] is cancelled. [generation] has to grow with each start of this node's name. */
    public fun start(scope: CoroutineScope, generation: Long) {
        this.generation = generation
        scope.launch(control) { repeatEvery(settings.period) { round(scope) } }
        scope.launch(control) { repeatEvery(settings.regionPeriod) { regionRound(scope) } }
    }

    private suspend fun repeatEvery(period: Duration, work: () -> Unit) {
        delay(period * random.nextDouble())
        while (true) {
            work()
            delay(period)
        }
    }

    private fun round(scope: CoroutineScope) {
        forgetTheDead()
        publishOwn()
        show()
        val partner = homePeers().randomOrNull(random) ?: return
        scope.launch(control) { exchange(partner.address, aggregatesOnly = false) }
    }

    private fun regionRound(scope: CoroutineScope) {
        publishAggregates()
        val view = membership.view.value
        val home = view.serving.filter { it.region == view.self.region }
        view.peers.filter { it.region != view.self.region }.groupBy { it.region }.forEach { (region, members) ->
            val bridges = Rendezvous.pick("gossip/${region.value}", home, settings.bridges)
            if (bridges.none { it.address.node == self }) return@forEach
            val partner = members.random(random)
            scope.launch(control) { exchange(partner.address, aggregatesOnly = true) }
        }
    }

    private fun homePeers(): List<Member> {
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
        val home = view.serving.filter { it.region == view.self.region }
        topics.values.filter { it.hasAggregate }.forEach { topic ->
            val mine = aggregatorOf(topic.name, home)?.address?.node == self
            val value = if (mine) topic.aggregateOf(store.values(topic.name, aggregate = false).values) else null
            store.publish(topic.name, value, aggregate = true, generation)
        }
    }

    private fun aggregatorOf(topic: String, members: Collection<Member>): Member? =
        Rendezvous.best("aggregate/$topic", members)

    private suspend fun exchange(partner: PeerAddress, aggregatesOnly: Boolean) {
        val request = GossipRequest(store.digest(aggregatesOnly), aggregatesOnly)
        val answer = network.call(partner, GossipMethods.EXCHANGE, request, CALL_TIMEOUT)
        val received = (answer as? Either.Right ?: return).value
        merge(received.updates)
        if (received.wanted.isEmpty) return
        val updates = store.requested(received.wanted, settings.messageBytes)
        if (updates.isNotEmpty()) network.call(partner, GossipMethods.PUSH, GossipPush(updates), CALL_TIMEOUT)
    }

    private fun answer(request: GossipRequest): GossipAnswer = GossipAnswer(
        store.newerThan(request.digest, request.aggregatesOnly, settings.messageBytes),
        store.behind(request.digest),
    )

    private fun merge(updates: List<OriginUpdate>): Int {
        val present = presentNodes()
        val newer = store.merge(updates) { it in present }
        show()
        return newer
    }

    private fun forgetTheDead() {
        val present = presentNodes()
        store.forget { it in present }
    }

    private fun presentNodes(): Set<NodeId> {
        val view = membership.view.value
        if (view !== presentIn) present = view.peers.mapTo(HashSet()) { it.address.node }
        presentIn = view
        return present
    }

    private fun show() {
        val view = membership.view.value
        if (store.version == shownVersion && view === shownMembers) return
        shownVersion = store.version
        shownMembers = view
        val regionOf = view.members.associate { it.address.node to it.region }
        topics.values.forEach { show(it, view, regionOf) }
    }

    private fun show(topic: SwimGossipTopic<*>, view: MembershipView, regionOf: Map<NodeId, Region>) {
        topic.showLocal(store.values(topic.name, aggregate = false).filterKeys { regionOf[it] == view.self.region })
        if (!topic.hasAggregate) return
        val byRegion =
            store.values(topic.name, aggregate = true).entries
                .filter { regionOf[it.key] != null && regionOf[it.key] != view.self.region }
                .groupBy { regionOf.getValue(it.key) }
        topic.showRegions(
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
