package org.persimmonrelay.node

import org.persimmonrelay.identity.DeploymentId
import org.persimmonrelay.routing.Demand
import kotlin.test.Test
import kotlin.test.assertEquals

class DemandGossipTest {
    private val gossip = FakeGossip()
    private val difference = DemandDifference()

    @Test
    fun `demand of all nodes is counted once although not every message is read`() {
        val first = DemandGossip(gossip.of("n1"))
        val second = DemandGossip(gossip.of("n2"))
        difference.since(first.total().of(MODEL))

        first.add(demand(10.0))
        first.add(demand(5.0))
        second.add(demand(7.0))

        assertEquals(22.0, difference.since(first.total().of(MODEL)).promptTokens)
        assertEquals(0.0, difference.since(first.total().of(MODEL)).promptTokens)
    }

    @Test
    fun `a node that is gone causes no negative demand`() {
        val first = DemandGossip(gossip.of("n1"))
        val second = DemandGossip(gossip.of("n2"))
        first.add(demand(10.0))
        second.add(demand(7.0))
        difference.since(first.total().of(MODEL))

        gossip.removeNode("n2")
        val afterLoss = difference.since(first.total().of(MODEL))
        first.add(demand(3.0))

        assertEquals(Demand.NONE, afterLoss)
        assertEquals(3.0, difference.since(first.total().of(MODEL)).promptTokens)
    }

    private fun demand(tokens: Double) = mapOf(MODEL to Demand(promptTokens = tokens))

    private companion object {
        val MODEL = DeploymentId("planner-llm")
    }
}
