package org.persimmonrelay.node

import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.DeploymentId
import org.persimmonrelay.membership.Gossip
import org.persimmonrelay.routing.Demand

/** Cumulative demand on each deployment since the reporting node started; it never decreases until that node stops. */
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
 * Shares every node's demand by gossip. Messages hold cumulative totals instead of differences, so that lost or
 * reordered messages cause no error.
 */
internal class DemandGossip(gossip: Gossip) {
    private val topic = gossip.topic("demand", DemandTotals.serializer()) {
        it.fold(DemandTotals.NONE, DemandTotals::plus)
    }
    private var localTotals = DemandTotals.NONE

    /** Adds this node's demand since the last call and publishes the new totals. */
    fun add(demand: Map<DeploymentId, Demand>) {
        localTotals += DemandTotals(demand)
        topic.publish(localTotals)
    }

    /** The sum of the latest known totals of all nodes, including this one. */
    fun total(): DemandTotals =
        (topic.local.value.values + topic.regions.value.values).fold(DemandTotals.NONE, DemandTotals::plus)
}
