/*
 * The law on configuration, tested on the real service in virtual time: a few nodes that share one table, concurrent
 * changes by operators at random nodes, and faults of one or two kinds. After every event and at the end these are
 * checked:
 *
 *  - no node goes back to an older version, and one version has the same content on all nodes;
 *  - an accepted change is never lost, and a refused one is never applied;
 *  - an accepted change is in force within seven seconds on every node that could reach the stores, the accepting
 *    node or an intermediate node;
 *  - a restarted node that is ready has every change that was confirmed before it started;
 *  - once all faults are over, all nodes are ready and have the same content.
 */
package org.persimmonrelay.experiment.laws

import kotlinx.coroutines.launch
import org.persimmonrelay.clock.Moment
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An accepted configuration change is in force on all reachable nodes within seven seconds and is never reverted. */
public object ConfigLaw : Law {
    override val name: String = "configuration"

    private val law = ScheduledLaw(
        name = name,
        ours = { seed -> ConfigSchedule(seed, ::VersionedConfigNode).run() == null },
        naive = { seed -> ConfigSchedule(seed, ::NaiveConfigNode).run() == null },
    )

    override fun run(schedules: Int, seed: Long): LawResult = law.run(schedules, seed)

    /** The first violation by the real service in the schedule of [seed], or null if the law holds. */
    public fun explain(seed: Long): String? = ConfigSchedule(seed, ::VersionedConfigNode).run()
}

/** One schedule: nodes, faults and changes drawn from [seed]. */
private class ConfigSchedule(seed: Long, newNode: (ConfigNodeDependencies) -> ConfigNode) {
    private val world = ConfigWorld(seed, newNode)
    private val random = Random(seed + 1)
    private val changes = mutableListOf<AttemptedChange>()
    private val contents = mutableMapOf<Long, Set<String>>()
    private val lastVersions = mutableMapOf<NodeInstance, Long>()
    private val readyInstances = mutableSetOf<NodeInstance>()
    private var violation: String? = null

    /** Runs the schedule; returns the first violation, or null if the law holds. */
    fun run(): String? {
        val window = world.start(FAULTS_FROM, FAULTS_WITHIN)
        repeat(1 + random.nextInt(MAX_CHANGES)) { number -> scheduleChange(number, window) }
        world.time.runUntil(Moment.ZERO + SCHEDULE_LENGTH, ::checkVersions)
        checkEnd()
        return violation
    }

    private fun scheduleChange(number: Int, window: FaultWindow) {
        val at = window.draw(random).inWholeSeconds.seconds
        val index = world.nodeIndices.random(random)
        val jitter = MAX_JITTER * random.nextDouble()
        world.time.after(at + jitter) { put("w$number", index) }
    }

    private fun put(name: String, index: Int) {
        val instance = world.running[index]
        if (!instance.process.isRunning || !instance.node.ready) return
        val began = world.time.now
        instance.process.scope.launch {
            val outcome = instance.node.put(name)
            val change = AttemptedChange(name, index, began, world.time.now, outcome)
            changes += change
            if (change.isAccepted) world.time.after(IN_FORCE_WITHIN) { checkInForce(change) }
        }
    }

    private fun checkVersions() {
        if (violation != null) return
        world.running.forEach { instance ->
            val version = instance.node.version
            val before = lastVersions.put(instance, version) ?: 0
            if (version != before) checkContent(instance, before, version)
            if (instance.node.ready && readyInstances.add(instance)) checkReady(instance)
        }
    }

    private fun checkContent(instance: NodeInstance, before: Long, version: Long) {
        val names = instance.node.names
        expect(version > before) { "node ${instance.index} went from version $before to $version" }
        val known = contents.getOrPut(version) { names }
        expect(known == names) { "version $version has different contents on two nodes: $known and $names" }
    }

    private fun checkReady(instance: NodeInstance) {
        val confirmed = changes
            .filter { it.outcome == ChangeOutcome.CONFIRMED && it.ended < instance.began }
            .map { it.name }
        expect(instance.node.names.containsAll(confirmed)) {
            "node ${instance.index} is ready but lacks ${confirmed - instance.node.names}"
        }
    }

    private fun checkInForce(change: AttemptedChange) {
        world.running.forEach { instance ->
            val reachable = world.mustHaveReached(instance.index, change.index, change.began, change.ended)
            if (!reachable || instance.began > change.began || !instance.node.ready) return@forEach
            expect(change.name in instance.node.names) { "node ${instance.index} lacks ${change.name} after 7 s" }
        }
    }

    private fun checkEnd() {
        val names = world.running.first().node.names
        world.running.forEach { instance ->
            expect(instance.node.ready) { "node ${instance.index} is not ready at the end" }
            expect(instance.node.names == names) {
                "node ${instance.index} has ${instance.node.names}, but the first node has $names"
            }
        }
        changes.forEach { change ->
            if (change.isAccepted) expect(change.name in names) { "${change.name} was accepted but is missing" }
            if (change.outcome == ChangeOutcome.REFUSED) expect(change.name !in names) { "denied ${change.name} set" }
        }
    }

    private fun expect(holds: Boolean, message: () -> String) {
        if (!holds && violation == null) violation = "at ${world.time.now - Moment.ZERO}: ${message()}"
    }

    private class AttemptedChange(
        val name: String,
        val index: Int,
        val began: Moment,
        val ended: Moment,
        val outcome: ChangeOutcome,
    ) {
        val isAccepted: Boolean
            get() = outcome == ChangeOutcome.CONFIRMED || outcome == ChangeOutcome.ACCEPTED
    }

    private companion object {
        const val MAX_CHANGES = 14
        val FAULTS_FROM = 3.seconds
        val FAULTS_WITHIN = 22.seconds
        val SCHEDULE_LENGTH = 54.seconds
        val MAX_JITTER = 30.milliseconds
        val IN_FORCE_WITHIN: Duration = 7.seconds
    }
}
