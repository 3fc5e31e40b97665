package org.persimmonrelay.node

import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.DeploymentId
import org.persimmonrelay.membership.Gossip
import org.persimmonrelay.routing.Demand

/** The work asked of each deployment since its origin started; only grows while the origin lives. */
@Serializable
internal data class DemandTotals(val byDeployment: Map<DeploymentId, Demand>) {
    operator fun plus(other: DemandTotals): DemandTotals {
        val names = byDeployment.keys + other.byDeployment.keys
        return DemandTotals(names.associateWith { of(it) + other.of(it) })
    }

    fun of(deployment: DeploymentId): Demand = byDeployment[deployment] ?: Demand.NONE

    companion object {
        val NONE = DemandTotals(emptyMap())
    }
}

/**
 * Spreads the work that all nodes are asked for. Totals travel, not differences, so that a lost or an overtaken
 * message costs nothing.
 */
internal class DemandGossip(gossip: Gossip) {
    private val topic = gossip.topic("demand", DemandTotals.serializer()) {
        it.fold(DemandTotals.NONE, DemandTotals::plus)
    }
    private var own = DemandTotals.NONE

    /** Adds what this node was asked for since the last call, and spreads it. */
    fun add(demand: Map<DeploymentId, Demand>) {
        own += DemandTotals(demand)
        topic.publish(own)
    }

    /** The totals of all nodes as far as heard, this one included. */
    fun total(): DemandTotals =
        (topic.local.value.values + topic.regions.value.values).fold(DemandTotals.NONE, DemandTotals::plus)
}
