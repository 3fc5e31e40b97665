package org.persimmonrelay.standin

import kotlinx.coroutines.CoroutineScope
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.peer.PeerAddress
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Simulated network between in-memory nodes. Deliveries run in [scope], so a test dispatcher gives virtual time;
 * all calls must come from that dispatcher's thread.
 *
 * A restarted node joins again under the same name with a new incarnation.
 */
public class FakePeerHub(internal val scope: CoroutineScope, public val random: Random) {
    /** Probability that one message (a request or a response) is lost. */
    public var loss: Double = 0.0

    /** Probability that a request is delivered a second time. */
    public var duplication: Double = 0.0

    /** Range of the one-way latency of a message, drawn uniformly. */
    public var delay: ClosedRange<Duration> = 1.milliseconds..2.milliseconds

    /** Messages and bytes sent, by method name. */
    public val traffic: MutableMap<String, FakeTraffic> = sortedMapOf()

    private val nodes = HashMap<NodeId, FakePeerNetwork>()
    private val cutLinks = HashSet<Set<NodeId>>()
    private var partitions: List<Set<NodeId>> = emptyList()

    /** Makes a node reachable at [address] and returns its network interface. Stops a node of the same name. */
    public fun join(address: PeerAddress): FakePeerNetwork {
        nodes[address.node]?.stop()
        return FakePeerNetwork(this, address).also { nodes[address.node] = it }
    }

    /** Cuts the link between [a] and [b]: messages in both directions are lost. */
    public fun cut(a: NodeId, b: NodeId) {
        cutLinks += setOf(a, b)
    }

    /** Delivers messages only within each of [groups]; nodes in none of them form another group. */
    public fun partition(vararg groups: Set<NodeId>) {
        partitions = groups.toList()
    }

    /** Removes all cuts and partitions. */
    public fun heal() {
        cutLinks.clear()
        partitions = emptyList()
    }

    /** The network interface of [node], or null when the node has not joined or was stopped. */
    public fun node(node: NodeId): FakePeerNetwork? = nodes[node]?.takeUnless { it.stopped }

    internal fun connected(a: NodeId, b: NodeId): Boolean {
        if (setOf(a, b) in cutLinks) return false
        return partitions.indexOfFirst { a in it } == partitions.indexOfFirst { b in it }
    }

    internal fun drawLatency(): Duration {
        val spread = delay.endInclusive - delay.start
        return delay.start + spread * random.nextDouble()
    }

    internal fun isLost(): Boolean = loss > 0 && random.nextDouble() < loss

    internal fun isDuplicated(): Boolean = duplication > 0 && random.nextDouble() < duplication

    internal fun count(method: String, bytes: Int) {
        val methodTraffic = traffic.getOrPut(method) { FakeTraffic() }
        methodTraffic.messages++
        methodTraffic.bytes += bytes
    }
}

/** Traffic of one method; a request and a response count as one message each. */
public class FakeTraffic {
    public var messages: Long = 0
        internal set

    /** Encoded size of the messages, without framing. */
    public var bytes: Long = 0
        internal set
}
