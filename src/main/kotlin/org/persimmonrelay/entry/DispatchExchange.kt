package org.persimmonrelay.entry

import org.persimmonrelay.clock.Clock
import org.persimmonrelay.fairness.ShareSummary
import org.persimmonrelay.identity.DeploymentId
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.routing.Demand

/** Exchanges usage summaries between the dispatchers of this node and those of other nodes. Thread-safe. */
public class DispatchExchange internal constructor(private val queues: DispatchQueues, private val clock: Clock) {
    /** Usage of each active deployment since the last call, to be sent to every peer that shares the deployment. */
    public fun summaries(node: NodeId, incarnation: Incarnation): List<ShareSummary> =
        queues.active().mapNotNull { (name, queue) ->
            queue.query { it.summary(node, incarnation, DeploymentId(name), clock.now()) }
        }

    /** Merges a summary from a peer; ignored if this node has not used the deployment yet. */
    public fun merge(summary: ShareSummary) {
        queues.active()[summary.deployment.value]?.mergePeerUsage(summary)
    }

    /** Demand for each deployment since the last call. */
    public fun takeDemand(): Map<DeploymentId, Demand> =
        queues.active().entries.associate { (name, queue) -> DeploymentId(name) to queue.query { it.takeDemand() } }
}
