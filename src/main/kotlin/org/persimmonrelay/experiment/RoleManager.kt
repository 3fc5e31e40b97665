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

/** A role change that began [at] seconds after the start of the run. */
internal data class RoleChangeRecord(val engine: String, val at: Double, val from: EngineRole, val to: EngineRole)

/** Applies the role controller's decisions to the engines of a run: drains, changes the role and restarts. */
internal class RoleManager(
    profile: EngineProfile,
    private val loop: EventLoop,
    private val changeSeconds: Double,
    private val onServersChanged: () -> Unit,
) {
    private val controller = RoleController(RoleSettings(changeSeconds = changeSeconds), profile)
    private val targets = LinkedHashMap<EngineModel, EngineRole>()
    private val idleSince = HashMap<EngineModel, Double>()

    /** All changes so far, also those in progress. */
    val changes = ArrayList<RoleChangeRecord>()

    /** Engines that drain for a role change or are changing their role. */
    val changing: List<EngineModel>
        get() = targets.keys.toList()

    fun tick(engines: List<EngineModel>, demand: Demand) {
        controller.observe(demand, loop.now)
        changeDrainedEngines()
        val candidates = engines.filter { it.alive || it in targets }.filterNot { it.terminating }
        val decisions = controller.decide(candidates.map(::roleEngine), loop.now)
        decisions.forEach { drain(it, engines) }
        if (decisions.isNotEmpty()) onServersChanged()
    }

    fun onCrash(engine: EngineModel) {
        targets.remove(engine)
        idleSince.remove(engine)
    }

    private fun roleEngine(engine: EngineModel) = RoleEngine(
        server = ServerId(engine.name),
        domain = FailureDomain(engine.domain),
        role = targets[engine] ?: engine.role,
        changing = engine in targets,
        sequences = engine.jobs().size,
    )

    private fun drain(change: RoleChange, engines: List<EngineModel>) {
        val engine = engines.first { it.name == change.server.value }
        engine.draining = true
        targets[engine] = change.role
        idleSince[engine] = loop.now.seconds
        changes += RoleChangeRecord(engine.name, loop.now.seconds, engine.role, change.role)
    }

    /** An engine must be idle for a while, since nodes learn of the drain with a delay and jobs may be in transit. */
    private fun changeDrainedEngines() {
        targets.toList().filter { it.first.alive }.forEach { (engine, role) -> changeIfIdle(engine, role) }
    }

    private fun changeIfIdle(engine: EngineModel, role: EngineRole) {
        if (!engine.isIdle) idleSince[engine] = loop.now.seconds
        if (loop.now.seconds - idleSince.getValue(engine) < MIN_IDLE_SECONDS) return
        engine.beginRoleChange()
        val incarnation = engine.incarnation
        loop.after(changeSeconds) { if (engine.incarnation == incarnation) completeChange(engine, role) }
    }

    private fun completeChange(engine: EngineModel, role: EngineRole) {
        engine.restart(role)
        targets.remove(engine)
        idleSince.remove(engine)
        onServersChanged()
    }

    private companion object {
        const val MIN_IDLE_SECONDS = 1.5
    }
}
