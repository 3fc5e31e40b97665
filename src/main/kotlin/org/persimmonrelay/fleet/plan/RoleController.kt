/*
 * Decides which engines change their role. Each failure domain's best roles for the expected mix are found by
 * looking at all of them; an engine is then moved towards them when that pays.
 */
package org.persimmonrelay.fleet.plan

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.engine.EngineProfile
import org.persimmonrelay.engine.EngineRole
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.routing.Demand
import kotlin.time.Duration.Companion.seconds

/** An engine as the controller sees it. [role] is the one it has or, while [isChangingRole], the one it changes to. */
public data class RoleEngine(
    val server: ServerId,
    val domain: FailureDomain,
    val role: EngineRole,
    val isChangingRole: Boolean,
    val sequences: Int = 0,
)

/** An engine that is to be drained and given [role]. */
public data class RoleChange(val server: ServerId, val role: EngineRole)

/** The role controller of one pool. Pure but for its averages; not thread-safe. */
public class RoleController(private val settings: RoleSettings, profile: EngineProfile) {
    private val forecast = MixForecast(settings, profile)
    private val capacity = RoleCapacity(settings)
    private val changedAt = HashMap<ServerId, Moment>()

    private class Move(val change: RoleChange, val gain: Double)

    /** The mixes to serve, now and ahead, with the work of one engine's part in each. */
    private class Needs(val mixes: List<ExpectedMix>, engines: Int) {
        val perEngine: List<Double> = mixes.map { it.work / engines }
    }

    /** Takes the [demand] of all nodes since the last call. */
    public fun observe(demand: Demand, now: Moment): Unit = forecast.observe(demand, now)

    /** Changes to begin now. Engines that are gone or leaving are left out of [engines]. */
    public fun decide(engines: List<RoleEngine>, now: Moment): List<RoleChange> {
        val domains = engines.groupBy { it.domain }
        val stranded = domains.values.mapNotNull(::strandedChange)
        val wanted = stranded.ifEmpty { listOfNotNull(payingChange(engines, domains.values, now)) }
        wanted.forEach { changedAt[it.server] = now }
        return wanted
    }

    /** An engine that is alone in its failure domain can serve nobody unless it is mixed. */
    private fun strandedChange(engines: List<RoleEngine>): RoleChange? {
        val alone = engines.singleOrNull() ?: return null
        return if (alone.isChangingRole ||
            alone.role == EngineRole.MIXED
        ) {
            null
        } else {
            RoleChange(alone.server, EngineRole.MIXED)
        }
    }

    private fun payingChange(
        engines: List<RoleEngine>,
        domains: Collection<List<RoleEngine>>,
        now: Moment,
    ): RoleChange? {
        val atOnce = maxOf(1, (engines.size * settings.maxShareAtOnce).toInt())
        if (engines.count { it.isChangingRole } >= atOnce) return null
        val mixes = listOfNotNull(forecast.expected(0.0), forecast.expected(settings.aheadSeconds))
        if (mixes.isEmpty()) return null
        val needs = Needs(mixes, engines.size)
        return domains.mapNotNull { bestMove(it, needs, now) }.maxByOrNull { it.gain }?.change
    }

    private fun bestMove(engines: List<RoleEngine>, needs: Needs, now: Moment): Move? {
        if (engines.size < 2 || engines.any { it.isChangingRole }) return null
        val have = RoleCounts.of(engines.map { it.role })
        val want = RoleCounts.all(engines.size).maxByOrNull { value(it, have, needs) } ?: return null
        val steps = stepsBetween(have, want)
        val gain = value(want, have, needs) - value(have, have, needs)
        if (steps == 0 || gain < settings.minGain) return null
        return move(engines, have, want, now)?.let { Move(it, gain / steps) }
    }

    /** Moves the engine with the least to drain from a role of which there are too many. */
    private fun move(engines: List<RoleEngine>, have: RoleCounts, want: RoleCounts, now: Moment): RoleChange? {
        val to = EngineRole.entries.maxByOrNull { want.of(it) - have.of(it) } ?: return null
        val engine =
            engines.filter { have.of(it.role) > want.of(it.role) && rested(it, now) }.minByOrNull { it.sequences }
        return engine?.let { RoleChange(it.server, to) }
    }

    /** The work that [counts] can carry of what is needed, less what the changes on the way cost. */
    private fun value(counts: RoleCounts, have: RoleCounts, needs: Needs): Double {
        val engines = counts.prefill + counts.decode + counts.mixed
        val served =
            needs.mixes.indices.sumOf { index ->
                val needed = needs.perEngine[index] * engines / settings.busyShare
                minOf(needed, capacity.of(counts, needs.mixes[index].promptShare))
            }
        val lost = (settings.changeSeconds + settings.drainSeconds) / settings.horizonSeconds
        return served / needs.mixes.size - stepsBetween(have, counts) * lost
    }

    private fun stepsBetween(have: RoleCounts, want: RoleCounts): Int =
        EngineRole.entries.sumOf { maxOf(0, want.of(it) - have.of(it)) }

    private fun rested(engine: RoleEngine, now: Moment): Boolean {
        val changed = changedAt[engine.server] ?: return true
        return now - changed >= settings.dwellSeconds.seconds
    }
}
