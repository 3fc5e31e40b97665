package org.persimmonrelay.experiment

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.fairness.FairShareLedger
import org.persimmonrelay.fairness.ShareSummary
import org.persimmonrelay.identity.DeploymentId
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.routing.Demand
import org.persimmonrelay.routing.Dispatcher
import org.persimmonrelay.routing.ExpectedTimeDispatcher
import org.persimmonrelay.routing.RoundRobinDispatcher
import org.persimmonrelay.routing.RoutingSettings
import kotlin.random.Random

/** An entry node of a run, with a dispatcher of the production code. */
internal class EntryNode(
    val index: Int,
    val region: Int,
    val dispatcher: Dispatcher,
    private val ledger: FairShareLedger?,
) {
    /** This node's usage summary for its peers; null in an arm that does not share usage. */
    fun summary(deployment: String, now: Moment): ShareSummary? =
        ledger?.summary(NodeId("node-$index"), Incarnation("1"), DeploymentId(deployment), now)

    fun takeDemand(): Demand = (dispatcher as? ExpectedTimeDispatcher)?.takeDemand() ?: Demand.NONE

    internal companion object {
        fun of(arm: Arm, index: Int, region: Int, settings: RoutingSettings, seed: Long): EntryNode = when (arm) {
            Arm.NAIVE -> EntryNode(index, region, RoundRobinDispatcher(), null)
            Arm.OURS -> {
                val ledger = FairShareLedger()
                EntryNode(index, region, ExpectedTimeDispatcher(settings, Random(seed + index), ledger), ledger)
            }
        }
    }
}
