package org.persimmonrelay.membership

import kotlinx.coroutines.delay
import kotlinx.serialization.SerialName
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
 * The running nodes, according to heartbeat rows in the store. Each node rewrites its row every [HEARTBEAT_PERIOD]; a
 * node whose row has not changed for [LIVENESS_TIMEOUT] counts as stopped. Functions must be called on the control
 * thread; [liveNodes] and [peers] may be read from any thread.
 */
public class LiveNodeRegistry(
    private val table: ReliableTable,
    private val self: UdpPeer,
    private val incarnation: Incarnation,
    private val clock: Clock,
    private val newOperation: () -> OperationId,
    private val events: EventSink,
) {
    private val observed = HashMap<NodeId, ObservedRow>()
    private var heartbeat = 0L

    /** Running nodes, including this one. The same list instance until the set changes. */
    @Volatile
    public var liveNodes: List<NodeId> = listOf(self.node)
        private set

    /** The other running nodes that published a UDP address. */
    @Volatile
    public var peers: List<UdpPeer> = emptyList()
        private set

    private data class ObservedRow(val row: NodeRow, val changedAt: Moment)

    @Serializable
    private data class NodeRow(
        val node: NodeId,
        val incarnation: Incarnation,
        @SerialName("beat") val heartbeat: Long,
        val domain: FailureDomain? = null,
        val address: String? = null,
    ) {
        fun toPeer(): UdpPeer? {
            val at = address?.let(ServerAddress::parse) ?: return null
            return UdpPeer(node, domain ?: return null, at)
        }
    }

    /** Writes the heartbeat of this node and reads those of the others until cancelled. */
    public suspend fun run() {
        while (true) {
            writeHeartbeat()
            refresh()
            delay(HEARTBEAT_PERIOD)
        }
    }

    /** Removes this node's row, so that the others need not wait for [LIVENESS_TIMEOUT]. */
    public suspend fun deregister() {
        table.commit(Transaction(newOperation(), emptyList(), listOf(Write.Delete(PREFIX + self.node))))
    }

    private suspend fun writeHeartbeat() {
        val row = NodeRow(self.node, incarnation, heartbeat++, self.domain, self.address.toString())
        val write = Write.Put(PREFIX + self.node, Json.encodeToString(NodeRow.serializer(), row))
        table.commit(Transaction(newOperation(), emptyList(), listOf(write)))
    }

    private suspend fun refresh() {
        val rows = table.scan(PREFIX).getOrNull() ?: return
        val now = clock.now()
        val present = rows.mapNotNull(::decode).associateBy { it.node }
        observed.keys.retainAll(present.keys)
        present.values.forEach { row ->
            if (observed[row.node]?.row != row) observed[row.node] = ObservedRow(row, now)
        }
        val running = observed.filterValues { now - it.changedAt < LIVENESS_TIMEOUT }
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
        val HEARTBEAT_PERIOD: Duration = 3.seconds
        val LIVENESS_TIMEOUT: Duration = 9.seconds
    }
}
