/*
 * Control traffic of complete meshes of nodes, simulated in one thread and in virtual time. The number of engines is
 * proportional to the number of nodes, at 1,300 engines per 370 nodes. Each collector publishes changed loads every
 * second, and each node a fair-share summary every five seconds. Bytes are those of the messages that a node sends and
 * receives, without framing; PeerCallMeasure measures the framing.
 */
package org.persimmonrelay.measure

import kotlinx.serialization.Serializable
import org.persimmonrelay.engine.EngineLoadReport
import org.persimmonrelay.engine.EngineRole
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.Region
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.membership.EngineLoadGossip
import org.persimmonrelay.membership.GossipTopic
import org.persimmonrelay.standin.VirtualMesh
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** Bytes, messages and processor time of membership and summaries per node, by the number of nodes. */
public class MeshMeasure(private val sizes: List<Int> = SIZES) : Measure {
    override val name: String = "mesh"

    override fun run(): List<Slope> {
        val readings = sizes.associateWith { reading(it) }
        return listOf(
            slope("membership bytes per node", "bytes/s sent and received", readings) { it.memberBytes },
            slope("membership messages per node", "messages/s sent and received", readings) { it.memberMessages },
            slope("summary bytes per node", "bytes/s sent and received", readings) { it.summaryBytes },
            slope("summary messages per node", "messages/s sent and received", readings) { it.summaryMessages },
            slope("control CPU per node", "CPU us/s", readings) { it.cpuMicros },
        )
    }

    private fun slope(name: String, what: String, readings: Map<Int, Reading>, quantity: (Reading) -> Double) =
        Slope.fit(
            name,
            what,
            "member",
            readings.map { (size, reading) ->
                MeasurePoint(size.toDouble(), quantity(reading))
            },
        )

    private fun reading(size: Int): Reading {
        val mesh = LoadedMesh(size)
        repeat(SETTLE_SECONDS) { mesh.advanceSecond() }
        val before = mesh.traffic()
        val cpu = CpuGauge.ofThread { repeat(STEADY_SECONDS) { mesh.advanceSecond() } }
        val after = mesh.traffic()
        check(mesh.isComplete()) { "The mesh of $size nodes did not settle in $SETTLE_SECONDS s." }
        mesh.close()
        return Reading.between(before, after, cpu.inWholeMicroseconds.toDouble(), size)
    }

    private class Reading(
        val memberBytes: Double,
        val memberMessages: Double,
        val summaryBytes: Double,
        val summaryMessages: Double,
        val cpuMicros: Double,
    ) {
        companion object {
            /** Rates per node. The factor 2 is because each message is sent by one node and received by another. */
            fun between(before: Traffic, after: Traffic, cpuMicros: Double, size: Int): Reading {
                val nodeSeconds = (size * STEADY_SECONDS).toDouble()
                fun rate(quantity: (Traffic) -> Long) = 2 * (quantity(after) - quantity(before)) / nodeSeconds
                return Reading(
                    rate { it.memberBytes },
                    rate { it.memberMessages },
                    rate { it.summaryBytes },
                    rate { it.summaryMessages },
                    cpuMicros / nodeSeconds,
                )
            }
        }
    }

    private companion object {
        val SIZES = listOf(7, 40, 120, 370)
        const val SETTLE_SECONDS = 60
        const val STEADY_SECONDS = 20
    }
}

/** Totals over all nodes since the mesh started. */
private class Traffic(
    val memberBytes: Long,
    val memberMessages: Long,
    val summaryBytes: Long,
    val summaryMessages: Long,
)

/** Recent cumulative use of the pools on one node, in thousandths of cost, for the workspaces that use most. */
@Serializable
private class ShareOfWorkspaces(val workspaces: List<Int>, val milliCosts: List<Long>)

/** A [VirtualMesh] whose nodes collect engine loads and publish usage summaries as nodes in production do. */
private class LoadedMesh(private val size: Int) {
    private val regions = List(if (size < FEW_NODES) FEW_REGIONS else REGIONS) { Region("region-$it") }
    private val mesh = VirtualMesh(seed = size.toLong())
    private val random = Random(size)
    private val engines = List(size * ENGINES / NODES + 1) { ServerId("engine-$it") to regions[it % regions.size] }
    private val summaries = HashMap<NodeId, EngineLoadGossip>()
    private val shares = HashMap<NodeId, GossipTopic<ShareOfWorkspaces>>()
    private var seconds = 0L

    init {
        repeat(size) { start(it) }
    }

    fun advanceSecond() {
        seconds++
        mesh.nodes.forEach { (id, node) ->
            val own = engines.filter { (server, region) ->
                region == node.place.region && summaries.getValue(id).isCollectorOf(server, region)
            }
            summaries.getValue(id).publish(own.map { report(it.first) })
        }
        if (seconds % SHARE_PERIOD_SECONDS == 0L) shares.values.forEach { it.publish(share()) }
        mesh.advance(1.seconds)
    }

    fun traffic(): Traffic {
        val (summary, member) = mesh.hub.traffic.entries.partition { it.key.startsWith("gossip") }
        return Traffic(
            member.sumOf { it.value.bytes },
            member.sumOf { it.value.messages },
            summary.sumOf { it.value.bytes },
            summary.sumOf { it.value.messages },
        )
    }

    fun isComplete(): Boolean = mesh.nodes.values.all { it.serving().size == size }

    fun close() = mesh.close()

    private fun start(index: Int) {
        val region = regions[index % regions.size]
        val node = mesh.start("node-$index", region.value)
        val id = node.place.address.node
        summaries[id] = EngineLoadGossip(node.components.membership, node.components.gossip)
        shares[id] =
            node.components.gossip.topic("shares", ShareOfWorkspaces.serializer()) { all ->
                val sums = all.flatMap { it.workspaces.zip(it.milliCosts) }.groupBy({ it.first }, { it.second })
                val heaviest = sums.mapValues { it.value.sum() }.entries.sortedByDescending { it.value }.take(SHARES)
                ShareOfWorkspaces(heaviest.map { it.key }, heaviest.map { it.value })
            }
    }

    private fun share() = ShareOfWorkspaces(
        List(SHARES) { random.nextInt(WORKSPACES) },
        List(SHARES) { random.nextLong(MILLI_COSTS) },
    )

    private fun report(server: ServerId) = EngineLoadReport(
        server = server,
        incarnation = "01J9Z3K4M5N6P7Q8R9S0T1V2W3",
        sequence = SEQUENCE_START + seconds,
        role = EngineRole.MIXED,
        models = listOf("planner-llm", "yard-desk"),
        queuedPromptTokens = random.nextLong(QUEUED_TOKENS),
        runningRequests = random.nextInt(RUNNING),
        remainingOutputTokens = random.nextLong(OUTPUT_TOKENS),
        kvTokensUsed = random.nextLong(KV_TOKENS),
        kvTokensTotal = KV_TOKENS,
        knownAttempts = SEQUENCE_START + random.nextLong(ATTEMPTS),
    )

    private companion object {
        const val NODES = 370
        const val ENGINES = 1_300
        const val REGIONS = 8
        const val FEW_REGIONS = 3
        const val FEW_NODES = 40
        const val WORKSPACES = 18_000
        const val SHARES = 24
        const val SHARE_PERIOD_SECONDS = 5L
        const val MILLI_COSTS = 1_000_000L
        const val SEQUENCE_START = 100_000L
        const val QUEUED_TOKENS = 50_000L
        const val RUNNING = 128
        const val OUTPUT_TOKENS = 100_000L
        const val KV_TOKENS = 400_000L
        const val ATTEMPTS = 1_000_000L
    }
}
