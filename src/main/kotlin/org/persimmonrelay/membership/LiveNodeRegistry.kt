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
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The running nodes, according to heartbeat rows in the store. Each node rewrites its row and reads those of the others
 * every heartbeat period, which grows with their number, so that the bytes that a node reads a second do not. A node
 * whose row has not changed for several periods counts as stopped. So does one without a row, unless the store was
 * restored from an older copy and may have lost the row: such a node has several periods to write it again. Functions
 * must be called on the control thread; [liveNodes] and [peers] may be read from any thread.
 */
public class LiveNodeRegistry(
    private val table: ReliableTable,
    private val self: UdpPeer,
    private val incarnation: Incarnation,
    private val clock: Clock,
    private val newOperation: () -> OperationId,
    private val random: Random,
    private val events: EventSink,
) {
    private val observed = HashMap<NodeId, ObservedRow>()
    private var heartbeat = 0L
    private var restores = 0L

    /** Running nodes, including this one. The same list instance until the set changes. */
    @Volatile
    public var liveNodes: List<NodeId> = listOf(self.node)
        private set

    /** The other running nodes that published a UDP address. The same list instance until it changes. */
    @Volatile
    public var peers: List<UdpPeer> = emptyList()
        private set

    /** [mayBeLost] is true while the store may have lost the row by a restore. */
    private data class ObservedRow(val row: NodeRow, val changedAt: Moment, val mayBeLost: Boolean = false)

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
            delay(heartbeatPeriod(liveNodes.size) * random.nextDouble(MIN_JITTER_FACTOR, 1.0))
        }
    }

    /** Removes this node's row, so that the others need not wait for the liveness timeout. */
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
        if (table.wasRestoredSince(restores)) {
            observed.replaceAll { _, seen -> ObservedRow(seen.row, now, mayBeLost = true) }
        }
        restores = table.restores
        observed.entries.removeIf { (node, seen) -> node !in present && !seen.mayBeLost }
        present.values.forEach { observe(it, now) }
        val timeout = heartbeatPeriod(observed.size) * MISSED_HEARTBEATS
        val running = observed.filterValues { now - it.changedAt < timeout }
        observed.entries.removeIf { (node, seen) -> seen.mayBeLost && node !in running }
        val others = running.values.filter { it.row.node != self.node }.mapNotNull { it.row.toPeer() }
        if (others != peers) peers = others
        val nodes = (running.keys + self.node).sortedBy { it.value }
        if (nodes == liveNodes) return
        liveNodes = nodes
        events.record(MembershipEvent.NODES_CHANGED, "nodes" with nodes.joinToString(","))
    }

    private fun observe(row: NodeRow, now: Moment) {
        val before = observed[row.node]
        observed[row.node] = if (before?.row == row) before.copy(mayBeLost = false) else ObservedRow(row, now)
    }

    private fun decode(row: Row): NodeRow? = try {
        Json.decodeFromString(NodeRow.serializer(), row.value)
    } catch (e: SerializationException) {
        events.record(MembershipEvent.NODE_ROW_IGNORED, "key" with row.key, "why" with e.message)
        null
    }

    private companion object {
        const val PREFIX = "node/"
        const val MISSED_HEARTBEATS = 3
        const val MIN_JITTER_FACTOR = 0.8
        val SHORTEST_PERIOD: Duration = 3.seconds
        val LONGEST_PERIOD: Duration = 12.seconds
        val PERIOD_PER_NODE: Duration = 150.milliseconds

        fun heartbeatPeriod(nodes: Int): Duration = (PERIOD_PER_NODE * nodes).coerceIn(SHORTEST_PERIOD, LONGEST_PERIOD)
    }
}
