/*
 * The law on configuration, tried on the real service in virtual time: a few nodes around one table, operators
 * that race each other at random nodes, and faults alone and in pairs. After every event and at the end it is checked that
 *
 *  - no node goes back to an older version, and one version has the same content everywhere;
 *  - an accepted change is never lost, and a refused one never made;
 *  - an accepted change is in force within seven seconds on every node that the stores, the accepting node or a node
 *    in between reached;
 *  - a node that has started again and is ready has every change that was confirmed before it started;
 *  - once all faults are over, all nodes are ready and have the same content.
 */
package org.persimmonrelay.experiment.laws

import kotlinx.coroutines.launch
import org.persimmonrelay.clock.Moment
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An accepted configuration is in force everywhere within seconds and never reverts. */
public object ConfigLaw : Law {
    override val name: String = "configuration"

    private val law = ScheduledLaw(
        name = name,
        ours = { seed -> ConfigSchedule(seed, ::VersionedConfigNode).run() == null },
        naive = { seed -> ConfigSchedule(seed, ::NaiveConfigNode).run() == null },
    )

    override fun run(schedules: Int, seed: Long): LawResult = law.run(schedules, seed)

    /** What the schedule of [seed] breaks with the real service, or null. */
    public fun explain(seed: Long): String? = ConfigSchedule(seed, ::VersionedConfigNode).run()
}

/** One schedule. */
private class ConfigSchedule(seed: Long, kind: (NodeParts) -> ConfigNode) {
    private val world = ConfigWorld(seed, kind)
    private val random = Random(seed + 1)
    private val changes = mutableListOf<TriedChange>()
    private val contents = mutableMapOf<Long, Set<String>>()
    private val seen = mutableMapOf<NodeLife, Long>()
    private val readyLives = mutableSetOf<NodeLife>()
    private var broken: String? = null

    /** What was broken first, or null. */
    fun run(): String? {
        val window = world.start(EARLIEST, FAULTS_WITHIN)
        repeat(1 + random.nextInt(MAX_CHANGES)) { number -> scheduleChange(number, window) }
        world.time.runUntil(Moment.ZERO + LENGTH, ::checkVersions)
        checkEnd()
        return broken
    }

    private fun scheduleChange(number: Int, window: FaultWindow) {
        val at = window.draw(random).inWholeSeconds.seconds
        val place = world.places.random(random)
        val jitter = RACE_SPREAD * random.nextDouble()
        world.time.after(at + jitter) { put("w$number", place) }
    }

    private fun put(name: String, place: Int) {
        val life = world.running[place]
        if (!life.process.isRunning || !life.node.ready) return
        val began = world.time.now
        life.process.scope.launch {
            val end = life.node.put(name)
            val change = TriedChange(name, place, began, world.time.now, end)
            changes += change
            if (change.isAccepted) world.time.after(IN_FORCE_WITHIN) { checkInForce(change) }
        }
    }

    private fun checkVersions() {
        if (broken != null) return
        world.running.forEach { life ->
            val version = life.node.version
            val before = seen.put(life, version) ?: 0
            if (version != before) checkContent(life, before, version)
            if (life.node.ready && readyLives.add(life)) checkReady(life)
        }
    }

    private fun checkContent(life: NodeLife, before: Long, version: Long) {
        val names = life.node.names
        expect(version > before) { "node ${life.place} went from version $before to $version" }
        val known = contents.getOrPut(version) { names }
        expect(known == names) { "version $version is $known and $names" }
    }

    private fun checkReady(life: NodeLife) {
        val confirmed = changes.filter { it.end == PutEnd.CONFIRMED && it.ended < life.began }.map { it.name }
        expect(life.node.names.containsAll(confirmed)) {
            "node ${life.place} is ready without ${confirmed - life.node.names}"
        }
    }

    private fun checkInForce(change: TriedChange) {
        world.running.forEach { life ->
            val reached = world.reached(life.place, change.place, change.began, change.ended)
            if (!reached || life.began > change.began || !life.node.ready) return@forEach
            expect(change.name in life.node.names) { "node ${life.place} lacks ${change.name} after 7 s" }
        }
    }

    private fun checkEnd() {
        val names = world.running.first().node.names
        world.running.forEach { life ->
            expect(life.node.ready) { "node ${life.place} is not ready at the end" }
            expect(life.node.names == names) { "node ${life.place} has ${life.node.names}, the first $names" }
        }
        changes.forEach { change ->
            if (change.isAccepted) expect(change.name in names) { "${change.name} was accepted and lost" }
            if (change.end == PutEnd.REFUSED) expect(change.name !in names) { "${change.name} was refused and made" }
        }
    }

    private fun expect(holds: Boolean, message: () -> String) {
        if (!holds && broken == null) broken = "at ${world.time.now - Moment.ZERO}: ${message()}"
    }

    private class TriedChange(
        val name: String,
        val place: Int,
        val began: Moment,
        val ended: Moment,
        val end: PutEnd,
    ) {
        val isAccepted: Boolean
            get() = end == PutEnd.CONFIRMED || end == PutEnd.ACCEPTED
    }

    private companion object {
        const val MAX_CHANGES = 14
        val EARLIEST = 3.seconds
        val FAULTS_WITHIN = 22.seconds
        val LENGTH = 54.seconds
        val RACE_SPREAD = 30.milliseconds
        val IN_FORCE_WITHIN: Duration = 7.seconds
    }
}
