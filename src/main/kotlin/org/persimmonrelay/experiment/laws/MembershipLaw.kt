/*
 * What callers of the membership rely on, under random kills, restarts, pauses, splits of a region, cuts between
 * regions, loss and duplication:
 *  - a node that runs undisturbed is never declared failed, even while its region is cut off from others;
 *  - once the faults are over, all running nodes see exactly each other within RECOVERY.
 */
package org.persimmonrelay.experiment.laws

import org.persimmonrelay.identity.NodeId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Membership under faults, against all-to-all heartbeats. */
public object MembershipLaw : Law {
    /** Time after the last fault within which all running nodes agree. */
    public val RECOVERY: Duration = 60.seconds

    override val name: String = "membership"

    override fun run(schedules: Int, seed: Long): LawResult {
        val seeds = List(schedules) { seed * SEED_STEP + it }
        val naive = seeds.count { trial(HeartbeatTrialMesh(it), it) }
        val failing = seeds.filter { trial(SwimTrialMesh(it), it) }
        return LawResult(name, schedules, naive, failing.size, failing.firstOrNull())
    }

    /** True when the schedule drawn from [seed] broke the law in [mesh]. */
    private fun trial(mesh: TrialMesh, seed: Long): Boolean = mesh.use { MembershipTrial(it, Random(seed)).violated() }

    private const val SEED_STEP = 1_000_003L
}

/** One schedule of faults. */
private class MembershipTrial(private val mesh: TrialMesh, private val random: Random) {
    private val regionOf = HashMap<NodeId, String>()
    private val running = LinkedHashSet<NodeId>()
    private val disturbedUntil = HashMap<NodeId, Int>()
    private var second = 0
    private var wronglyFailed = false

    fun violated(): Boolean {
        mesh.onFailed = { _, subject -> if (isUndisturbed(subject)) wronglyFailed = true }
        REGIONS.forEach { region -> repeat(NODES_PER_REGION) { start(NodeId("$region-$it"), region) } }
        advance(JOIN_SECONDS)
        mesh.hub.loss = random.nextInt(LOSS_PERCENT + 1) / PERCENT
        mesh.hub.duplication = random.nextInt(LOSS_PERCENT + 1) / PERCENT
        repeat(STEPS) { step() }
        advance(MembershipLaw.RECOVERY.inWholeSeconds.toInt())
        return wronglyFailed || mesh.serving().values.any { it != running }
    }

    private fun step() {
        val node = regionOf.keys.sortedBy { it.value }.random(random)
        when (Fault.entries.random(random)) {
            Fault.KILL -> kill(node)
            Fault.RESTART -> start(node, regionOf.getValue(node))
            Fault.PAUSE -> pauseFor(node, random.nextInt(2, LONGEST_SECONDS))
            Fault.SPLIT -> splitFor(node, random.nextInt(2, LONGEST_SECONDS))
            Fault.CUT -> cutFor(regionOf.getValue(node), random.nextInt(2, LONGEST_SECONDS))
        }
        advance(random.nextInt(1, QUIET_SECONDS))
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

    private fun splitFor(node: NodeId, seconds: Int) {
        val part = regionOf.keys.filter { regionOf[it] == regionOf[node] && (it == node || random.nextBoolean()) }
        regionOf.keys.filter { regionOf[it] == regionOf[node] }.forEach { disturb(it, seconds) }
        separateFor(part.toSet(), seconds)
    }

    private fun cutFor(region: String, seconds: Int) {
        separateFor(regionOf.keys.filter { regionOf[it] == region }.toSet(), seconds)
    }

    private fun separateFor(part: Set<NodeId>, seconds: Int) {
        regionOf.keys.filter { isSmall(regionOf.getValue(it)) }.forEach { disturb(it, seconds) }
        mesh.hub.partition(part)
        advance(seconds)
        mesh.hub.heal()
    }

    /** Regions with fewer than three running nodes are watched from outside; a separation may look like a failure. */
    private fun isSmall(region: String) = running.count { regionOf[it] == region } < WATCHED_SIZE

    private fun disturb(node: NodeId, seconds: Int = 0) {
        disturbedUntil[node] = maxOf(disturbedUntil[node] ?: 0, second + seconds + SETTLING_SECONDS)
    }

    private fun isUndisturbed(node: NodeId) = node in running && second > (disturbedUntil[node] ?: 0)

    private fun advance(seconds: Int) = repeat(seconds) {
        mesh.advance(1.seconds)
        second++
    }

    private enum class Fault { KILL, RESTART, PAUSE, SPLIT, CUT }

    private companion object {
        val REGIONS = listOf("east", "north", "south")
        const val NODES_PER_REGION = 4
        const val WATCHED_SIZE = 3
        const val JOIN_SECONDS = 30
        const val SETTLING_SECONDS = 25
        const val LOSS_PERCENT = 10
        const val PERCENT = 100.0
        const val STEPS = 5
        const val LONGEST_SECONDS = 20
        const val QUIET_SECONDS = 12
    }
}
