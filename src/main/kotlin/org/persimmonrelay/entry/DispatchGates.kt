package org.persimmonrelay.entry

import kotlinx.coroutines.CoroutineScope
import org.persimmonrelay.catalog.BackendServerConfig
import org.persimmonrelay.catalog.Deployment
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.engine.EngineLoadReport
import org.persimmonrelay.routing.Dispatcher

/**
 * The gates of all deployments in use. A deployment whose definition changes gets a new dispatcher for new
 * requests; the old one serves those it has. Thread-safe.
 */
public class DispatchGates(
    private val servers: ServerSource,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val dispatcherFactory: (Deployment) -> Dispatcher,
) {
    private val gates = HashMap<String, Opened>()
    private val replaced = mutableListOf<Opened>()

    /** The gate of [deployment], opened with its servers when it is new. */
    @Synchronized
    public fun of(deployment: Deployment): DispatchGate {
        val open = gates[deployment.name]
        if (open != null && open.deployment == deployment) return open.gate
        val gate = DispatchGate(dispatcherFactory(deployment), clock, scope)
        gate.serversChanged(servers.of(deployment))
        gates[deployment.name] = Opened(deployment, gate)
        open?.let(replaced::add)
        return gate
    }

    /** Tells every gate which servers it has now. */
    @Synchronized
    public fun serversChanged() {
        replaced.removeAll { it.gate.isIdle }
        (gates.values + replaced).forEach { it.gate.serversChanged(servers.of(it.deployment)) }
    }

    /** Passes [report] to the gates whose deployments use the server. */
    public fun reported(report: EngineLoadReport) {
        val all = synchronized(this) { gates.values + replaced }
        all.forEach { it.gate.reported(report) }
    }

    /** The present gate of each deployment in use, by its name. */
    @Synchronized
    public fun opened(): Map<String, DispatchGate> = gates.mapValues { it.value.gate }

    /** The servers of all deployments in use, each once. */
    @Synchronized
    public fun servers(): List<BackendServerConfig> =
        gates.values.flatMap { servers.of(it.deployment) }.distinctBy { it.name }

    private class Opened(val deployment: Deployment, val gate: DispatchGate)
}
