/*
 * Guarantees of the membership under random kills, restarts, pauses, partitions within a region and between regions,
 * message loss and duplication:
 *  - a running node without recent faults is never declared failed, even while its region is cut off from others;
 *  - within RECOVERY after the last fault, every running node has exactly the running nodes in its view.
 */
package org.persimmonrelay.experiment.laws

import org.persimmonrelay.identity.NodeId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Compares the membership protocol with all-to-all heartbeats under faults. */
public object MembershipLaw : Law {
    /** Time after the last fault within which the views of all running nodes are equal. */
    public val RECOVERY: Duration = 60.seconds

    override val name: String = "membership"

    override fun run(schedules: Int, seed: Long): LawResult {
        val seeds = List(schedules) { seed * SEED_STEP + it }
        val naive = seeds.count { trial(HeartbeatTrialMesh(it), it) }
        val failing = seeds.filter { trial(SwimTrialMesh(it), it) }
        return LawResult(name, schedules, naive, failing.size, failing.firstOrNull())
    }

    /** True when [mesh] violated the law in the schedule drawn from [seed]. */
    private fun trial(mesh: TrialMesh, seed: Long): Boolean = mesh.use { MembershipTrial(it, Random(seed)).violated() }

    private const val SEED_STEP = 1_000_003L
}

/** One schedule of faults. */
private class MembershipTrial(private val mesh: TrialMesh, private val random: Random) {
    private val regionOf = HashMap<NodeId, String>()
    private val running = LinkedHashSet<NodeId>()
    private val disturbedUntil = HashMap<NodeId, Int>()
    private var elapsedSeconds = 0
    private var falseFailure = false

    fun violated(): Boolean {
        mesh.onFailed = { _, subject -> if (isUndisturbed(subject)) falseFailure = true }
        REGIONS.forEach { region -> repeat(NODES_PER_REGION) { start(NodeId("$region-$it"), region) } }
        advance(JOIN_TIME_SECONDS)
        mesh.hub.loss = random.nextInt(LOSS_PERCENT + 1) / PERCENT
        mesh.hub.duplication = random.nextInt(LOSS_PERCENT + 1) / PERCENT
        repeat(FAULTS) { injectFault() }
        advance(MembershipLaw.RECOVERY.inWholeSeconds.toInt())
        return falseFailure || mesh.serving().values.any { it != running }
    }

    private fun injectFault() {
        val node = regionOf.keys.sortedBy { it.value }.random(random)
        when (MembershipFault.entries.random(random)) {
            MembershipFault.KILL -> kill(node)
            MembershipFault.RESTART -> start(node, regionOf.getValue(node))
            MembershipFault.PAUSE -> pauseFor(node, random.nextInt(2, MAX_FAULT_SECONDS))
            MembershipFault.SPLIT -> partitionWithinRegion(node, random.nextInt(2, MAX_FAULT_SECONDS))
            MembershipFault.CUT -> partitionRegion(regionOf.getValue(node), random.nextInt(2, MAX_FAULT_SECONDS))
        }
        advance(random.nextInt(1, MAX_GAP_SECONDS))
    }

    private fun start(node: NodeId, region: String) {
        regionOf[node] = region
        running += node
        disturb(node)
        mesh.start(node.value, region)
    }

    private fun kill(node: NodeId) {
        running -= node
        mesh.kill(node)
    }

    private fun pauseFor(node: NodeId, seconds: Int) {
        disturb(node, seconds)
        mesh.pause(node)
        advance(seconds)
        mesh.resume(node)
    }

    private fun partitionWithinRegion(node: NodeId, seconds: Int) {
        val side = regionOf.keys.filter { regionOf[it] == regionOf[node] && (it == node || random.nextBoolean()) }
        regionOf.keys.filter { regionOf[it] == regionOf[node] }.forEach { disturb(it, seconds) }
        partitionFor(side.toSet(), seconds)
    }

    private fun partitionRegion(region: String, seconds: Int) {
        partitionFor(regionOf.keys.filter { regionOf[it] == region }.toSet(), seconds)
    }

    private fun partitionFor(side: Set<NodeId>, seconds: Int) {
        regionOf.keys.filter { isProbedFromOutside(regionOf.getValue(it)) }.forEach { disturb(it, seconds) }
        mesh.hub.partition(side)
        advance(seconds)
        mesh.hub.heal()
    }

    /** Regions with fewer than three running nodes are probed from other regions; a partition may look like failure. */
    private fun isProbedFromOutside(region: String) = running.count { regionOf[it] == region } < SELF_PROBING_SIZE

    private fun disturb(node: NodeId, seconds: Int = 0) {
        disturbedUntil[node] = maxOf(disturbedUntil[node] ?: 0, elapsedSeconds + seconds + SETTLING_SECONDS)
    }

    private fun isUndisturbed(node: NodeId) = node in running && elapsedSeconds > (disturbedUntil[node] ?: 0)

    private fun advance(seconds: Int) = repeat(seconds) {
        mesh.advance(1.seconds)
        elapsedSeconds++
    }

    private enum class MembershipFault { KILL, RESTART, PAUSE, SPLIT, CUT }

    private companion object {
        val REGIONS = listOf("east", "north", "south")
        const val NODES_PER_REGION = 4
        const val SELF_PROBING_SIZE = 3
        const val JOIN_TIME_SECONDS = 30
        const val SETTLING_SECONDS = 25
        const val LOSS_PERCENT = 10
        const val PERCENT = 100.0
        const val FAULTS = 5
        const val MAX_FAULT_SECONDS = 20
        const val MAX_GAP_SECONDS = 12
    }
}
