package org.persimmonrelay.entry

import kotlinx.coroutines.CoroutineScope
import org.persimmonrelay.catalog.BackendServerConfig
import org.persimmonrelay.catalog.Deployment
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.engine.EngineLoadReport
import org.persimmonrelay.routing.Dispatcher

/**
 * The dispatch queues of all deployments in use. When the definition of a deployment changes, new requests go to a
 * new dispatcher, and the old one serves the requests that it already has. Thread-safe.
 */
public class DispatchQueues(
    private val servers: CatalogServers,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val dispatcherFactory: (Deployment) -> Dispatcher,
) {
    private val queues = HashMap<String, ActiveDeployment>()
    private val replaced = mutableListOf<ActiveDeployment>()

    /** The queue of [deployment]; created with the deployment's servers if there is none yet. */
    @Synchronized
    public fun of(deployment: Deployment): DispatchQueue {
        val existing = queues[deployment.name]
        if (existing != null && existing.deployment == deployment) return existing.queue
        val queue = DispatchQueue(dispatcherFactory(deployment), clock, scope)
        queue.serversChanged(servers.of(deployment))
        queues[deployment.name] = ActiveDeployment(deployment, queue)
        existing?.let(replaced::add)
        return queue
    }

    /** Updates the servers of every queue. */
    @Synchronized
    public fun serversChanged() {
        replaced.removeAll { it.queue.isIdle }
        (queues.values + replaced).forEach { it.queue.serversChanged(servers.of(it.deployment)) }
    }

    /** Passes [report] to the queues whose deployments use the server. */
    public fun updateLoad(report: EngineLoadReport) {
        val all = synchronized(this) { queues.values + replaced }
        all.forEach { it.queue.updateLoad(report) }
    }

    /** The current queue of each deployment in use, by the deployment's name. */
    @Synchronized
    public fun active(): Map<String, DispatchQueue> = queues.mapValues { it.value.queue }

    /** The servers of all deployments in use, each once. */
    @Synchronized
    public fun servers(): List<BackendServerConfig> =
        queues.values.flatMap { servers.of(it.deployment) }.distinctBy { it.name }

    private class ActiveDeployment(val deployment: Deployment, val queue: DispatchQueue)
}
