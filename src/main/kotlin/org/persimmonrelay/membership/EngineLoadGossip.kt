/*
 * Distributes the load of a region's engines by gossip. One node collects the load reports of an engine, so that
 * the engine is not polled by every node. Metadata that seldom changes has a topic of its own. The numbers that
 * change every second are sent as packed columns, because they make up most of a node's control traffic.
 */
package org.persimmonrelay.membership

import com.google.common.hash.Hashing
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.combine
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoIntegerType
import kotlinx.serialization.protobuf.ProtoPacked
import kotlinx.serialization.protobuf.ProtoType
import org.persimmonrelay.engine.EngineLoadReport
import org.persimmonrelay.engine.EngineRole
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.Region
import org.persimmonrelay.identity.ServerId

/** The seldom changing part of an engine's load report. */
@Serializable
internal data class EngineMetadata(
    val server: ServerId,
    val incarnation: String,
    val role: EngineRole,
    val models: List<String>,
    val kvTokensTotal: Long,
    val draining: Boolean,
) {
    /** Hash of server and incarnation that identifies the engine in [EngineLoadColumns]. */
    val key: Int get() = HASH.newHasher().putUnencodedChars(server.value).putUnencodedChars(incarnation).hash().asInt()

    private companion object {
        val HASH = Hashing.murmur3_32_fixed()
    }
}

/** Metadata of all engines that one node collects. */
@Serializable
internal data class EngineMetadataList(val engines: List<EngineMetadata>)

/** Load of all engines that one node collects, as one list for each number. All lists have the same order. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class EngineLoadColumns(
    @ProtoPacked @ProtoType(ProtoIntegerType.FIXED) val keys: List<Int>,
    @ProtoPacked val sequences: List<Long>,
    @ProtoPacked val queuedPromptTokens: List<Long>,
    @ProtoPacked val runningRequests: List<Int>,
    @ProtoPacked val remainingOutputTokens: List<Long>,
    @ProtoPacked val kvTokensUsed: List<Long>,
    @ProtoPacked val knownAttempts: List<Long>,
)

/** Publishes the load of the engines that this node collects, and gives the load of all engines of the region. */
public class EngineLoadGossip(private val membership: Membership, gossip: Gossip) {
    private val metadata = gossip.topic("engine-facts", EngineMetadataList.serializer())
    private val columns = gossip.topic("engine-load", EngineLoadColumns.serializer())

    private val assignments = HashMap<ServerId, Boolean>()
    private var assignmentsView: MembershipView? = null

    /** The latest report of each engine that a live node of this region collects. */
    public val reports: Flow<Map<ServerId, EngineLoadReport>> = combine(metadata.local, columns.local, ::join)

    /**
     * True when this node has to collect the load of [server], an engine in [region]. Not thread-safe. Results are
     * cached until the membership view changes.
     */
    public fun isCollectorOf(server: ServerId, region: Region): Boolean {
        val view = membership.view.value
        if (view !== assignmentsView) assignments.clear()
        assignmentsView = view
        return assignments.getOrPut(server) {
            val collector = CollectorAssignment.collectorOf(server, region, view.members)
            collector?.address?.node == view.self.address.node
        }
    }

    /** Publishes [collected], the latest reports of all engines that this node collects. */
    public fun publish(collected: List<EngineLoadReport>) {
        val sorted = collected.sortedBy { it.server.value }
        metadata.publish(EngineMetadataList(sorted.map(::metadataOf)))
        columns.publish(
            EngineLoadColumns(
                keys = sorted.map { metadataOf(it).key },
                sequences = sorted.map { it.sequence },
                queuedPromptTokens = sorted.map { it.queuedPromptTokens },
                runningRequests = sorted.map { it.runningRequests },
                remainingOutputTokens = sorted.map { it.remainingOutputTokens },
                kvTokensUsed = sorted.map { it.kvTokensUsed },
                knownAttempts = sorted.map { it.knownAttempts },
            ),
        )
    }

    private fun metadataOf(report: EngineLoadReport) = EngineMetadata(
        report.server,
        report.incarnation,
        report.role,
        report.models,
        report.kvTokensTotal,
        report.draining,
    )

    private fun join(
        metadata: Map<NodeId, EngineMetadataList>,
        columnsByNode: Map<NodeId, EngineLoadColumns>,
    ): Map<ServerId, EngineLoadReport> {
        val byKey = metadata.values.flatMap { it.engines }.associateBy { it.key }
        val reports =
            columnsByNode.values.flatMap { columns -> columns.keys.indices.mapNotNull { report(columns, it, byKey) } }
        return reports.groupBy { it.server }.mapValues { (_, duplicates) -> duplicates.maxBy { it.sequence } }
    }

    private fun report(columns: EngineLoadColumns, row: Int, byKey: Map<Int, EngineMetadata>): EngineLoadReport? {
        val engine = byKey[columns.keys[row]] ?: return null
        return EngineLoadReport(
            server = engine.server,
            incarnation = engine.incarnation,
            sequence = columns.sequences[row],
            role = engine.role,
            models = engine.models,
            queuedPromptTokens = columns.queuedPromptTokens[row],
            runningRequests = columns.runningRequests[row],
            remainingOutputTokens = columns.remainingOutputTokens[row],
            kvTokensUsed = columns.kvTokensUsed[row],
            kvTokensTotal = engine.kvTokensTotal,
            knownAttempts = columns.knownAttempts[row],
            draining = engine.draining,
        )
    }
}
