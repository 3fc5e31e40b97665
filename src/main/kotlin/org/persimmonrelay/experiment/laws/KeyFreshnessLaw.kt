/*
 * The law on withdrawn keys, tested on the real service in virtual time. Keys are withdrawn at random nodes during
 * faults. Four times a second these are checked:
 *
 *  - ten seconds after a withdrawal was confirmed, no running node accepts the key, even if it is isolated;
 *  - three seconds after the confirmation, no node that could reach the stores or the withdrawing node accepts it;
 *  - a node that reaches a majority of the nodes accepts valid keys, also while the stores are unavailable.
 */
package org.persimmonrelay.experiment.laws

import kotlinx.coroutines.launch
import org.persimmonrelay.clock.Moment
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Withdrawn keys are rejected within ten seconds; valid keys are accepted on nodes that reach a majority. */
public object KeyFreshnessLaw : Law {
    override val name: String = "withdrawn keys"

    private val law = ScheduledLaw(
        name = name,
        ours = { seed -> KeySchedule(seed, ::VersionedConfigNode).run() == null },
        naive = { seed -> KeySchedule(seed, ::NaiveConfigNode).run() == null },
    )

    override fun run(schedules: Int, seed: Long): LawResult = law.run(schedules, seed)

    /** The first violation by the real service in the schedule of [seed], or null if the law holds. */
    public fun explain(seed: Long): String? = KeySchedule(seed, ::VersionedConfigNode).run()
}

/** One schedule: nodes, faults and withdrawals drawn from [seed]. */
private class KeySchedule(seed: Long, newNode: (ConfigNodeDependencies) -> ConfigNode) {
    private val world = ConfigWorld(seed, newNode)
    private val random = Random(seed + 1)
    private val withdrawals = mutableListOf<Withdrawal>()
    private val attempted = mutableSetOf<String>()
    private var violation: String? = null

    /** Runs the schedule; returns a violation, or null if the law holds. */
    fun run(): String? {
        val window = world.start(FAULTS_FROM, FAULTS_WITHIN)
        world.time.after(KEYS_CREATED_AT) { createKeys() }
        KEYS.forEach { key ->
            world.time.after(window.draw(random)) { withdraw(key, world.nodeIndices.random(random)) }
        }
        var check = KEYS_CREATED_AT
        while (check < SCHEDULE_LENGTH) {
            world.time.after(check) { checkNodes() }
            check += CHECK_INTERVAL
        }
        world.time.runUntil(Moment.ZERO + SCHEDULE_LENGTH)
        return violation
    }

    private fun createKeys() {
        val instance = world.running.first()
        (KEYS + VALID_KEY).forEach { key -> instance.process.scope.launch { instance.node.put(key) } }
    }

    private fun withdraw(key: String, index: Int) {
        val instance = world.running[index]
        if (!instance.process.isRunning || !instance.node.ready || key !in instance.node.names) return
        val began = world.time.now
        attempted += key
        instance.process.scope.launch {
            if (instance.node.withdraw(key) != ChangeOutcome.CONFIRMED) return@launch
            withdrawals += Withdrawal(key, index, began, world.time.now)
        }
    }

    private fun checkNodes() {
        if (violation != null) return
        world.running.filter { it.process.isRunning }.forEach { instance ->
            withdrawals.forEach { checkWithdrawal(instance, it) }
            checkValid(instance)
        }
    }

    private fun checkWithdrawal(instance: NodeInstance, withdrawal: Withdrawal) {
        if (!instance.node.ready || !instance.node.admits(withdrawal.key)) return
        val age = world.time.now - withdrawal.ended
        val reachable = instance.began < withdrawal.began &&
            world.mustHaveReachedDirectly(instance.index, withdrawal.index, withdrawal.began, withdrawal.ended)
        val allowed = if (reachable) LIMIT_ON_REACHABLE_NODES else LIMIT_ON_ISOLATED_NODES
        if (age < allowed) return
        violation = "at ${world.time.now - Moment.ZERO}: node ${instance.index} accepts ${withdrawal.key} $age after " +
            "its withdrawal at node ${withdrawal.index}"
    }

    private fun checkValid(instance: NodeInstance) {
        if (VALID_KEY !in instance.node.names || !world.reachesMajority(instance, MAJORITY_REACHED_FOR)) return
        if (instance.node.admits(VALID_KEY)) return
        violation = "at ${world.time.now - Moment.ZERO}: node ${instance.index} with a majority rejects a valid key"
    }

    private class Withdrawal(val key: String, val index: Int, val began: Moment, val ended: Moment)

    private companion object {
        const val VALID_KEY = "key-lasting"
        val KEYS = List(5) { "key$it" }
        val KEYS_CREATED_AT = 4.seconds
        val FAULTS_FROM = 6.seconds
        val FAULTS_WITHIN = 22.seconds
        val SCHEDULE_LENGTH = 50.seconds
        val CHECK_INTERVAL = 250.milliseconds
        val MAJORITY_REACHED_FOR = 12.seconds
        val LIMIT_ON_REACHABLE_NODES = 3.seconds
        val LIMIT_ON_ISOLATED_NODES = 10.seconds
    }
}
