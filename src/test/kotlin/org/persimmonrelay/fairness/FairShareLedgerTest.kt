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
    fun `two busy workspaces get shares by weight, to within one request each`(
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
    fun `a workspace that waits is in the order whatever it used before`() {
        ledger.waiting(A, 1)
        repeat(100) { ledger.started(A, 1, 5.0, 1) }

        assertEquals(listOf(A), ledger.order().toList())
    }

    @Test
    fun `what a workspace used elsewhere puts it behind, once`() {
        ledger.waiting(A, 1)
        ledger.waiting(B, 1)
        val told = summary("other", 1, ShareEntry(A, 1, cost = 9.0, tokens = 1, running = 0, demand = 0.0))

        assertTrue(ledger.absorb(told, NOW))
        val lead = ledger.lead(A)
        assertFalse(ledger.absorb(told, NOW))

        assertEquals(B, ledger.order().first())
        assertEquals(lead, ledger.lead(A))
    }

    @Property(seed = "12", tries = 100)
    fun `messages keep their size and everything is told in the end`(@ForAll @IntRange(min = 1, max = 300) count: Int) {
        val shares = FairShareLedger()
        repeat(count) { shares.started(WorkspaceId("w$it"), 1, 1.0, 1) }

        val told = (1..12).map { shares.summary(NODE, LIFE, DEPLOYMENT, NOW + it.seconds) }

        assertTrue(told.all { it.top.size <= FairShareSettings().summaryEntries })
        assertEquals(count.toDouble(), told.sumOf { summary -> summary.top.sumOf { it.cost } }, 1e-6)
    }

    @Property(seed = "13", tries = 200)
    fun `the nodes' parts make one pool, and who asks little gets all of it`(
        @ForAll @IntRange(min = 1, max = 20) flood: Int,
        @ForAll @IntRange(min = 1, max = 4) nodes: Int,
    ) {
        val entries =
            (0 until nodes).map { node ->
                val floods = ShareEntry(A, 1, 0.0, 0, 0, demand = if (node == 0) flood.toDouble() else 0.0)
                summary("n$node", 1, floods, ShareEntry(B, 1, 0.0, 0, 0, demand = 0.1), served = 2.0 / nodes)
            }

        val parts = entries.map { own -> partOf(own, entries - own) }

        assertEquals(1.0, parts.sum(), 1e-9)
        assertTrue(parts.all { it >= 0.1 / (2.0 + 1e-9) * (1 - 1e-9) || nodes == 1 })
    }

    private fun partOf(own: ShareSummary, peers: List<ShareSummary>): Double {
        val parts = FairParts()
        peers.forEach { parts.told(it, NOW) }
        parts.update(own, NOW)
        return parts.part
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
