package org.persimmonrelay.experiment

import org.persimmonrelay.engine.EngineProfile
import org.persimmonrelay.engine.EngineRole
import org.persimmonrelay.fleet.plan.RoleChange
import org.persimmonrelay.fleet.plan.RoleController
import org.persimmonrelay.fleet.plan.RoleEngine
import org.persimmonrelay.fleet.plan.RoleSettings
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.routing.Demand

/** A change of role that began [at] seconds after the start. */
internal data class ChangeRecord(val engine: String, val at: Double, val from: EngineRole, val to: EngineRole)

/** Carries the controller's decisions out on the engines of a run: drain, change, back to work. */
internal class RoleManager(
    profile: EngineProfile,
    private val loop: EventLoop,
    private val changeSeconds: Double,
    private val onServersChanged: () -> Unit,
) {
    private val controller = RoleController(RoleSettings(changeSeconds = changeSeconds), profile)
    private val targets = LinkedHashMap<EngineModel, EngineRole>()
    private val quietSince = HashMap<EngineModel, Double>()

    /** Finished and running changes. */
    val changes = ArrayList<ChangeRecord>()

    /** Engines that are draining for a change or changing. */
    val changing: List<EngineModel>
        get() = targets.keys.toList()

    fun tick(engines: List<EngineModel>, demand: Demand) {
        controller.observe(demand, loop.now)
        beginDrained()
        val seen = engines.filter { it.alive || it in targets }.filterNot { it.leaving }
        val decided = controller.decide(seen.map(::seen), loop.now)
        decided.forEach { begin(it, engines) }
        if (decided.isNotEmpty()) onServersChanged()
    }

    fun crashed(engine: EngineModel) {
        targets.remove(engine)
        quietSince.remove(engine)
    }

    private fun seen(engine: EngineModel) = RoleEngine(
        server = ServerId(engine.name),
        domain = FailureDomain(engine.domain),
        role = targets[engine] ?: engine.role,
        changing = engine in targets,
        sequences = engine.jobs().size,
    )

    private fun begin(change: RoleChange, engines: List<EngineModel>) {
        val engine = engines.first { it.name == change.server.value }
        engine.draining = true
        targets[engine] = change.role
        quietSince[engine] = loop.now.seconds
        changes += ChangeRecord(engine.name, loop.now.seconds, engine.role, change.role)
    }

    /** An engine has to be idle for a while, since nodes hear of the drain late and work may be on its way. */
    private fun beginDrained() {
        targets.toList().filter { it.first.alive }.forEach { (engine, role) -> beginIfQuiet(engine, role) }
    }

    private fun beginIfQuiet(engine: EngineModel, role: EngineRole) {
        if (!engine.isIdle) quietSince[engine] = loop.now.seconds
        if (loop.now.seconds - quietSince.getValue(engine) < QUIET_SECONDS) return
        engine.beginChange()
        val life = engine.life
        loop.after(changeSeconds) { if (engine.life == life) changed(engine, role) }
    }

    private fun changed(engine: EngineModel, role: EngineRole) {
        engine.restart(role)
        targets.remove(engine)
        quietSince.remove(engine)
        onServersChanged()
    }

    private companion object {
        const val QUIET_SECONDS = 1.5
    }
}
