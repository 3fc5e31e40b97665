/*
 * The law on withdrawn keys, tried on the real service in virtual time. Keys are withdrawn at random nodes amid
 * faults. Four times a second it is checked that
 *
 *  - ten seconds after a withdrawal was confirmed no running node admits the key, however isolated it is;
 *  - three seconds after it no node does that the stores or the withdrawing node reached;
 *  - a node that reaches a majority of the nodes admits valid keys, also while the stores are out.
 */
package org.persimmonrelay.experiment.laws

import kotlinx.coroutines.launch
import org.persimmonrelay.clock.Moment
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A withdrawn key stops working within seconds, and valid ones go on working where that can be known. */
public object KeyFreshnessLaw : Law {
    override val name: String = "withdrawn keys"

    private val law = ScheduledLaw(
        name = name,
        ours = { seed -> KeySchedule(seed, ::VersionedConfigNode).run() == null },
        naive = { seed -> KeySchedule(seed, ::NaiveConfigNode).run() == null },
    )

    override fun run(schedules: Int, seed: Long): LawResult = law.run(schedules, seed)

    /** What the schedule of [seed] breaks with the real service, or null. */
    public fun explain(seed: Long): String? = KeySchedule(seed, ::VersionedConfigNode).run()
}

/** One schedule. */
private class KeySchedule(seed: Long, kind: (NodeParts) -> ConfigNode) {
    private val world = ConfigWorld(seed, kind)
    private val random = Random(seed + 1)
    private val withdrawals = mutableListOf<Withdrawal>()
    private val tried = mutableSetOf<String>()
    private var broken: String? = null

    /** What was broken first, or null. */
    fun run(): String? {
        val crowd = world.start(FAULTS_FROM, FAULTS_WITHIN)
        world.time.after(KEYS_AT) { createKeys() }
        KEYS.forEach { key -> world.time.after(crowd.draw(random)) { withdraw(key, world.places.random(random)) } }
        var check = KEYS_AT
        while (check < LENGTH) {
            world.time.after(check) { checkNodes() }
            check += CHECK_EVERY
        }
        world.time.runUntil(Moment.ZERO + LENGTH)
        return broken
    }

    private fun createKeys() {
        val life = world.running.first()
        (KEYS + LASTING_KEY).forEach { key -> life.process.scope.launch { life.node.put(key) } }
    }

    private fun withdraw(key: String, place: Int) {
        val life = world.running[place]
        if (!life.process.isRunning || !life.node.ready || key !in life.node.names) return
        val began = world.time.now
        tried += key
        life.process.scope.launch {
            if (life.node.withdraw(key) != PutEnd.CONFIRMED) return@launch
            withdrawals += Withdrawal(key, place, began, world.time.now)
        }
    }

    private fun checkNodes() {
        if (broken != null) return
        world.running.filter { it.process.isRunning }.forEach { life ->
            withdrawals.forEach { checkWithdrawal(life, it) }
            checkValid(life)
        }
    }

    private fun checkWithdrawal(life: NodeLife, withdrawal: Withdrawal) {
        if (!life.node.ready || !life.node.admits(withdrawal.key)) return
        val age = world.time.now - withdrawal.ended
        val reached = life.began < withdrawal.began &&
            world.reachedDirectly(life.place, withdrawal.place, withdrawal.began, withdrawal.ended)
        val allowed = if (reached) ON_REACHED_NODES else ON_ISOLATED_NODES
        if (age < allowed) return
        broken = "at ${world.time.now - Moment.ZERO}: node ${life.place} admits ${withdrawal.key} $age after its " +
            "withdrawal at node ${withdrawal.place}"
    }

    private fun checkValid(life: NodeLife) {
        if (LASTING_KEY !in life.node.names || !world.seesMajority(life, SETTLED)) return
        if (life.node.admits(LASTING_KEY)) return
        broken = "at ${world.time.now - Moment.ZERO}: node ${life.place} sees a majority and refuses a valid key"
    }

    private class Withdrawal(val key: String, val place: Int, val began: Moment, val ended: Moment)

    private companion object {
        const val LASTING_KEY = "key-lasting"
        val KEYS = List(5) { "key$it" }
        val KEYS_AT = 4.seconds
        val FAULTS_FROM = 6.seconds
        val FAULTS_WITHIN = 22.seconds
        val LENGTH = 50.seconds
        val CHECK_EVERY = 250.milliseconds
        val SETTLED = 12.seconds
        val ON_REACHED_NODES = 3.seconds
        val ON_ISOLATED_NODES = 10.seconds
    }
}
