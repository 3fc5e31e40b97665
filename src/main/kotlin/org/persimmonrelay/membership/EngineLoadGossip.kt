/*
 * Load of engines, spread in a region. Each engine has one collector that asks it for its load, so that an
 * engine answers one node and not all. What seldom changes travels apart from the numbers that change each
 * second, and the numbers travel as packed columns, because they make most of a node's control traffic.
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

/** What seldom changes of one engine. */
@Serializable
internal data class EngineFacts(
    val server: ServerId,
    val incarnation: String,
    val role: EngineRole,
    val models: List<String>,
    val kvTokensTotal: Long,
    val draining: Boolean,
) {
    /** Stands for this life of the engine in [EngineNumbers]. */
    val key: Int get() = HASH.newHasher().putUnencodedChars(server.value).putUnencodedChars(incarnation).hash().asInt()

    private companion object {
        val HASH = Hashing.murmur3_32_fixed()
    }
}

/** The facts of all engines that one node collects. */
@Serializable
internal data class EngineFactList(val engines: List<EngineFacts>)

/** The load of all engines that one node collects, a column for each number, in one order. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class EngineNumbers(
    @ProtoPacked @ProtoType(ProtoIntegerType.FIXED) val keys: List<Int>,
    @ProtoPacked val sequences: List<Long>,
    @ProtoPacked val queuedPromptTokens: List<Long>,
    @ProtoPacked val runningRequests: List<Int>,
    @ProtoPacked val remainingOutputTokens: List<Long>,
    @ProtoPacked val kvTokensUsed: List<Long>,
    @ProtoPacked val knownAttempts: List<Long>,
)

/** Spreads the load of this region's engines; [reports] has them all. */
public class EngineLoadGossip(private val membership: Membership, gossip: Gossip) {
    private val facts = gossip.topic("engine-facts", EngineFactList.serializer())
    private val numbers = gossip.topic("engine-load", EngineNumbers.serializer())

    private val assignments = HashMap<ServerId, Boolean>()
    private var assignedIn: MembershipView? = null

    /** The latest report of each engine that a live node of this region collects, by engine. */
    public val reports: Flow<Map<ServerId, EngineLoadReport>> = combine(facts.local, numbers.local, ::join)

    /**
     * True when this node has to ask [server], an engine in [region], for its load. To be called on one thread;
     * answers are kept until the members change.
     */
    public fun isCollectorOf(server: ServerId, region: Region): Boolean {
        val view = membership.view.value
        if (view !== assignedIn) assignments.clear()
        assignedIn = view
        return assignments.getOrPut(server) {
            val collector = CollectorAssignment.collectorOf(server, region, view.members)
            collector?.address?.node == view.self.address.node
        }
    }

    /** Spreads [collected], the latest reports of all engines that this node collects. */
    public fun publish(collected: List<EngineLoadReport>) {
        val sorted = collected.sortedBy { it.server.value }
        facts.publish(EngineFactList(sorted.map(::factsOf)))
        numbers.publish(
            EngineNumbers(
                keys = sorted.map { factsOf(it).key },
                sequences = sorted.map { it.sequence },
                queuedPromptTokens = sorted.map { it.queuedPromptTokens },
                runningRequests = sorted.map { it.runningRequests },
                remainingOutputTokens = sorted.map { it.remainingOutputTokens },
                kvTokensUsed = sorted.map { it.kvTokensUsed },
                knownAttempts = sorted.map { it.knownAttempts },
            ),
        )
    }

    private fun factsOf(report: EngineLoadReport) = EngineFacts(
        report.server,
        report.incarnation,
        report.role,
        report.models,
        report.kvTokensTotal,
        report.draining,
    )

    private fun join(
        facts: Map<NodeId, EngineFactList>,
        numbers: Map<NodeId, EngineNumbers>,
    ): Map<ServerId, EngineLoadReport> {
        val byKey = facts.values.flatMap { it.engines }.associateBy { it.key }
        val reports = numbers.values.flatMap { column -> column.keys.indices.mapNotNull { report(column, it, byKey) } }
        return reports.groupBy { it.server }.mapValues { (_, same) -> same.maxBy { it.sequence } }
    }

    private fun report(column: EngineNumbers, row: Int, byKey: Map<Int, EngineFacts>): EngineLoadReport? {
        val known = byKey[column.keys[row]] ?: return null
        return EngineLoadReport(
            server = known.server,
            incarnation = known.incarnation,
            sequence = column.sequences[row],
            role = known.role,
            models = known.models,
            queuedPromptTokens = column.queuedPromptTokens[row],
            runningRequests = column.runningRequests[row],
            remainingOutputTokens = column.remainingOutputTokens[row],
            kvTokensUsed = column.kvTokensUsed[row],
            kvTokensTotal = known.kvTokensTotal,
            knownAttempts = column.knownAttempts[row],
            draining = known.draining,
        )
    }
}
