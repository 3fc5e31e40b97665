package org.persimmonrelay.fairness

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.DeploymentId
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.WorkspaceId
import kotlin.math.abs
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class FairShareLedgerTest {
    private val ledger = FairShareLedger()

    @Property(seed = "11", tries = 200)
    fun `two backlogged workspaces get shares by weight, within one request each`(
        @ForAll @IntRange(min = 1, max = 8) first: Int,
        @ForAll @IntRange(min = 1, max = 8) second: Int,
        @ForAll @IntRange(min = 1, max = 50) cost: Int,
    ) {
        val shares = FairShareLedger(FairShareSettings(maxLeadSeconds = 1e9))
        val weights = mapOf(A to first, B to second)
        val used = hashMapOf(A to 0.0, B to 0.0)
        weights.forEach { (workspace, weight) -> shares.waiting(workspace, weight) }

        repeat(400) {
            val next = shares.order().first()
            val size = if (next == A) cost.toDouble() else 10.0
            shares.started(next, weights.getValue(next), size, 1)
            used.merge(next, size, Double::plus)
        }

        val ahead = abs(used.getValue(A) / first - used.getValue(B) / second)
        assertTrue(ahead <= cost.toDouble() / first + 10.0 / second)
    }

    @Test
    fun `a workspace with waiting requests is in the order whatever it used before`() {
        ledger.waiting(A, 1)
        repeat(100) { ledger.started(A, 1, 5.0, 1) }

        assertEquals(listOf(A), ledger.order().toList())
    }

    @Test
    fun `consumption on another node moves a workspace back in the order, and a duplicate summary has no effect`() {
        ledger.waiting(A, 1)
        ledger.waiting(B, 1)
        val reported = summary("other", 1, ShareEntry(A, 1, cost = 9.0, tokens = 1, running = 0, demand = 0.0))

        assertTrue(ledger.merge(reported, NOW))
        val lead = ledger.lead(A)
        assertFalse(ledger.merge(reported, NOW))

        assertEquals(B, ledger.order().first())
        assertEquals(lead, ledger.lead(A))
    }

    @Property(seed = "12", tries = 100)
    fun `summaries are limited in size and report all consumption`(@ForAll @IntRange(min = 1, max = 300) count: Int) {
        val shares = FairShareLedger()
        repeat(count) { shares.started(WorkspaceId("w$it"), 1, 1.0, 1) }

        val reported = (1..12).map { shares.summary(NODE, LIFE, DEPLOYMENT, NOW + it.seconds) }

        assertTrue(reported.all { it.top.size <= FairShareSettings().summaryEntries })
        assertEquals(count.toDouble(), reported.sumOf { summary -> summary.top.sumOf { it.cost } }, 1e-6)
    }

    @Property(seed = "13", tries = 200)
    fun `the nodes' shares add up to the pool, and a demand below its share is met in full`(
        @ForAll @IntRange(min = 1, max = 20) flood: Int,
        @ForAll @IntRange(min = 1, max = 4) nodes: Int,
    ) {
        val entries =
            (0 until nodes).map { node ->
                val floods = ShareEntry(A, 1, 0.0, 0, 0, demand = if (node == 0) flood.toDouble() else 0.0)
                summary("n$node", 1, floods, ShareEntry(B, 1, 0.0, 0, 0, demand = 0.1), served = 2.0 / nodes)
            }

        val shares = entries.map { own -> shareOf(own, entries - own) }

        assertEquals(1.0, shares.sum(), 1e-9)
        assertTrue(shares.all { it >= 0.1 / (2.0 + 1e-9) * (1 - 1e-9) || nodes == 1 })
    }

    private fun shareOf(own: ShareSummary, peers: List<ShareSummary>): Double {
        val shares = PoolShares()
        peers.forEach { shares.record(it, NOW) }
        shares.update(own, NOW)
        return shares.share
    }

    private fun summary(node: String, sequence: Long, vararg entries: ShareEntry, served: Double = 0.0) =
        ShareSummary(NodeId(node), LIFE, sequence, DEPLOYMENT, entries.toList(), 0.0, served)

    private companion object {
        val A = WorkspaceId("a")
        val B = WorkspaceId("b")
        val NODE = NodeId("self")
        val LIFE = Incarnation("1")
        val DEPLOYMENT = DeploymentId("d")
        val NOW = Moment.ZERO
    }
}
