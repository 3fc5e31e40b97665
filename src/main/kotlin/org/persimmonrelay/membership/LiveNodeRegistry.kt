package org.persimmonrelay.membership

import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.http.ServerAddress
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.platform.Row
import org.persimmonrelay.platform.Transaction
import org.persimmonrelay.platform.Write
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Which nodes run, by rows in the store: each node rewrites its own row now and then, and one whose row has not
 * changed for a while is taken as gone. Runs on the control thread; others read [liveNodes].
 */
public class LiveNodeRegistry(
    private val table: ReliableTable,
    private val self: UdpPeer,
    private val incarnation: Incarnation,
    private val clock: Clock,
    private val newOperation: () -> OperationId,
    private val events: EventSink,
) {
    private val seen = HashMap<NodeId, Seen>()
    private var beat = 0L

    /** Nodes that run, this one included; the same list while nothing changes. */
    @Volatile
    public var liveNodes: List<NodeId> = listOf(self.node)
        private set

    /** The other nodes that run and say where they take datagrams. */
    @Volatile
    public var peers: List<UdpPeer> = emptyList()
        private set

    private data class Seen(val row: NodeRow, val changedAt: Moment)

    @Serializable
    private data class NodeRow(
        val node: NodeId,
        val incarnation: Incarnation,
        val beat: Long,
        val domain: FailureDomain? = null,
        val address: String? = null,
    ) {
        fun toPeer(): UdpPeer? {
            val at = address?.let(ServerAddress::parse) ?: return null
            return UdpPeer(node, domain ?: return null, at)
        }
    }

    /** Tells of this node and watches the others until it is cancelled. */
    public suspend fun run() {
        while (true) {
            announce()
            look()
            delay(PERIOD)
        }
    }

    /** Removes this node's row, so that the others need not wait for its silence. */
    public suspend fun deregister() {
        table.commit(Transaction(newOperation(), emptyList(), listOf(Write.Delete(PREFIX + self.node))))
    }

    private suspend fun announce() {
        val row = NodeRow(self.node, incarnation, beat++, self.domain, self.address.toString())
        val write = Write.Put(PREFIX + self.node, Json.encodeToString(NodeRow.serializer(), row))
        table.commit(Transaction(newOperation(), emptyList(), listOf(write)))
    }

    private suspend fun look() {
        val rows = table.scan(PREFIX).getOrNull() ?: return
        val now = clock.now()
        val present = rows.mapNotNull(::decode).associateBy { it.node }
        seen.keys.retainAll(present.keys)
        present.values.forEach { row ->
            if (seen[row.node]?.row != row) seen[row.node] = Seen(row, now)
        }
        val running = seen.filterValues { now - it.changedAt < SILENCE }
        peers = running.values.filter { it.row.node != self.node }.mapNotNull { it.row.toPeer() }
        val nodes = (running.keys + self.node).sortedBy { it.value }
        if (nodes == liveNodes) return
        liveNodes = nodes
        events.record(MembershipEvent.NODES_CHANGED, "nodes" with nodes.joinToString(","))
    }

    private fun decode(row: Row): NodeRow? = try {
        Json.decodeFromString(NodeRow.serializer(), row.value)
    } catch (e: SerializationException) {
        events.record(MembershipEvent.NODE_ROW_IGNORED, "key" with row.key, "why" with e.message)
        null
    }

    private companion object {
        const val PREFIX = "node/"
        val PERIOD: Duration = 3.seconds
        val SILENCE: Duration = 9.seconds
    }
}
