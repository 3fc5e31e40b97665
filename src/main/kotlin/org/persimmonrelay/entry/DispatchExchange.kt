package org.persimmonrelay.entry

import org.persimmonrelay.clock.Clock
import org.persimmonrelay.fairness.ShareSummary
import org.persimmonrelay.identity.DeploymentId
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.routing.Demand

/** What the dispatchers of this node tell other nodes, and hear from them. Thread-safe. */
public class DispatchExchange internal constructor(private val gates: DispatchGates, private val clock: Clock) {
    /** Consumption of each deployment in use since the last call; to be told to every peer that shares it. */
    public fun summaries(node: NodeId, incarnation: Incarnation): List<ShareSummary> =
        gates.opened().mapNotNull { (name, gate) ->
            gate.ask { it.summary(node, incarnation, DeploymentId(name), clock.now()) }
        }

    /** Takes in what a peer told. A deployment that this node has not used yet is left out. */
    public fun merge(summary: ShareSummary) {
        gates.opened()[summary.deployment.value]?.consumed(summary)
    }

    /** The work asked of each deployment since the last call, by deployment. */
    public fun takeDemand(): Map<DeploymentId, Demand> =
        gates.opened().entries.associate { (name, gate) -> DeploymentId(name) to gate.ask { it.takeDemand() } }
}
