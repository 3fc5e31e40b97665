/*
 * Decides which engines change their role. The best roles of a failure domain for the expected mix are found by
 * comparing all combinations; an engine then changes towards them when the gain exceeds the cost of the change.
 */
package org.persimmonrelay.fleet.plan

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.engine.EngineProfile
import org.persimmonrelay.engine.EngineRole
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.routing.Demand
import kotlin.time.Duration.Companion.seconds

/** State of an engine. [role] is its role or, while it is [changing], the new one; [sequences] are in progress. */
public data class RoleEngine(
    val server: ServerId,
    val domain: FailureDomain,
    val role: EngineRole,
    val changing: Boolean,
    val sequences: Int = 0,
)

/** An engine that is to be drained and then changed to [role]. */
public data class RoleChange(val server: ServerId, val role: EngineRole)

/** The role controller of one pool. Its only state is the moving averages and the times of changes; not thread-safe. */
public class RoleController(private val settings: RoleSettings, profile: EngineProfile) {
    private val forecast = MixForecast(settings, profile)
    private val capacity = RoleCapacity(settings)
    private val changedAt = HashMap<ServerId, Moment>()

    private class Move(val change: RoleChange, val gain: Double)

    /** The mixes expected now and ahead, and for each the work per second of an engine if all have the same share. */
    private class ExpectedWork(val mixes: List<ExpectedMix>, engines: Int) {
        val perEngine: List<Double> = mixes.map { it.work / engines }
    }

    /** Records the [demand] on all nodes since the last call. */
    public fun observe(demand: Demand, now: Moment): Unit = forecast.observe(demand, now)

    /** Changes to begin now. [engines] are those that are running and are not to be stopped. */
    public fun decide(engines: List<RoleEngine>, now: Moment): List<RoleChange> {
        val domains = engines.groupBy { it.domain }
        val singleChanges = domains.values.mapNotNull(::changeOfSingleEngine)
        val changes = singleChanges.ifEmpty { listOfNotNull(bestChange(engines, domains.values, now)) }
        changes.forEach { changedAt[it.server] = now }
        return changes
    }

    /** An engine that is alone in its failure domain can serve requests only in the mixed role. */
    private fun changeOfSingleEngine(engines: List<RoleEngine>): RoleChange? {
        val only = engines.singleOrNull() ?: return null
        return if (only.changing || only.role == EngineRole.MIXED) null else RoleChange(only.server, EngineRole.MIXED)
    }

    private fun bestChange(
        engines: List<RoleEngine>,
        domains: Collection<List<RoleEngine>>,
        now: Moment,
    ): RoleChange? {
        val maxChanging = maxOf(1, (engines.size * settings.maxShareAtOnce).toInt())
        if (engines.count { it.changing } >= maxChanging) return null
        val mixes = listOfNotNull(forecast.expected(0.0), forecast.expected(settings.aheadSeconds))
        if (mixes.isEmpty()) return null
        val expected = ExpectedWork(mixes, engines.size)
        return domains.mapNotNull { bestMove(it, expected, now) }.maxByOrNull { it.gain }?.change
    }

    private fun bestMove(engines: List<RoleEngine>, expected: ExpectedWork, now: Moment): Move? {
        if (engines.size < 2 || engines.any { it.changing }) return null
        val current = RoleCounts.of(engines.map { it.role })
        val target = RoleCounts.all(engines.size).maxByOrNull { netCapacity(it, current, expected) } ?: return null
        val steps = stepsBetween(current, target)
        val gain = netCapacity(target, current, expected) - netCapacity(current, current, expected)
        if (steps == 0 || gain < settings.minGain) return null
        return move(engines, current, target, now)?.let { Move(it, gain / steps) }
    }

    /** Changes the engine with the fewest sequences to drain among those whose role has too many engines. */
    private fun move(engines: List<RoleEngine>, current: RoleCounts, target: RoleCounts, now: Moment): RoleChange? {
        val to = EngineRole.entries.maxByOrNull { target.of(it) - current.of(it) } ?: return null
        val engine =
            engines.filter { current.of(it.role) > target.of(it.role) && isDue(it, now) }.minByOrNull { it.sequences }
        return engine?.let { RoleChange(it.server, to) }
    }

    /** The needed work that [counts] can serve, less the cost of the changes from [current]. */
    private fun netCapacity(counts: RoleCounts, current: RoleCounts, expected: ExpectedWork): Double {
        val engines = counts.prefill + counts.decode + counts.mixed
        val served =
            expected.mixes.indices.sumOf { index ->
                val needed = expected.perEngine[index] * engines / settings.busyShare
                minOf(needed, capacity.of(counts, expected.mixes[index].promptShare))
            }
        val costPerChange = (settings.changeSeconds + settings.drainSeconds) / settings.horizonSeconds
        return served / expected.mixes.size - stepsBetween(current, counts) * costPerChange
    }

    private fun stepsBetween(current: RoleCounts, target: RoleCounts): Int =
        EngineRole.entries.sumOf { maxOf(0, target.of(it) - current.of(it)) }

    private fun isDue(engine: RoleEngine, now: Moment): Boolean {
        val changed = changedAt[engine.server] ?: return true
        return now - changed >= settings.dwellSeconds.seconds
    }
}
