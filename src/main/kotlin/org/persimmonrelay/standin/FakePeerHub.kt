package org.persimmonrelay.standin

import kotlinx.coroutines.CoroutineScope
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.peer.PeerAddress
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The links between in-memory nodes. Deliveries run in [scope], so a test dispatcher gives virtual time;
 * all calls have to come from that dispatcher's thread.
 *
 * A restarted node joins again under its old name with a new incarnation.
 */
public class FakePeerHub(internal val scope: CoroutineScope, public val random: Random) {
    /** Probability that one message, request or answer, is lost. */
    public var loss: Double = 0.0

    /** Probability that a request is delivered a second time. */
    public var duplication: Double = 0.0

    /** Shortest and longest time that one message takes, drawn evenly. */
    public var delay: ClosedRange<Duration> = 1.milliseconds..2.milliseconds

    /** Messages and their bytes by method name, counted when sent. */
    public val traffic: MutableMap<String, FakeTraffic> = sortedMapOf()

    private val nodes = HashMap<NodeId, FakePeerNetwork>()
    private val cuts = HashSet<Set<NodeId>>()
    private var groups: List<Set<NodeId>> = emptyList()

    /** Makes a node reachable at [address] and gives its end of the network. */
    public fun join(address: PeerAddress): FakePeerNetwork {
        nodes[address.node]?.stop()
        return FakePeerNetwork(this, address).also { nodes[address.node] = it }
    }

    /** Cuts the link between [a] and [b] in both directions: messages vanish. */
    public fun cut(a: NodeId, b: NodeId) {
        cuts += setOf(a, b)
    }

    /** Lets messages pass only within each of [parts]; nodes in none of them form one more part. */
    public fun partition(vararg parts: Set<NodeId>) {
        groups = parts.toList()
    }

    /** Removes all cuts and partitions. */
    public fun heal() {
        cuts.clear()
        groups = emptyList()
    }

    /** The end of the network of [node], when it has joined and was not stopped. */
    public fun node(node: NodeId): FakePeerNetwork? = nodes[node]?.takeUnless { it.stopped }

    internal fun connected(a: NodeId, b: NodeId): Boolean {
        if (setOf(a, b) in cuts) return false
        return groups.indexOfFirst { a in it } == groups.indexOfFirst { b in it }
    }

    internal fun travelTime(): Duration {
        val spread = delay.endInclusive - delay.start
        return delay.start + spread * random.nextDouble()
    }

    internal fun isLost(): Boolean = loss > 0 && random.nextDouble() < loss

    internal fun isDuplicated(): Boolean = duplication > 0 && random.nextDouble() < duplication

    internal fun count(method: String, bytes: Int) {
        val counted = traffic.getOrPut(method) { FakeTraffic() }
        counted.messages++
        counted.bytes += bytes
    }
}

/** What was sent under one method name; requests and answers count as one message each. */
public class FakeTraffic {
    public var messages: Long = 0
        internal set

    /** Encoded size of the messages, without framing. */
    public var bytes: Long = 0
        internal set
}
