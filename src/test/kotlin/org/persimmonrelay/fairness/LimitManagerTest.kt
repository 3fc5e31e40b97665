package org.persimmonrelay.fairness

import org.persimmonrelay.catalog.Limit
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.DeploymentId
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.WorkspaceId
import org.persimmonrelay.outcome.NotRunReason
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.seconds

class LimitManagerTest {
    private val manager = LimitManager()

    @Test
    fun `tokens refill evenly and the refusal has the time to retry after`() {
        val limits = listOf(Limit("l", workspaces = "", tokensPerMinute = 600))
        manager.started(W, limits, 600, NOW)

        val refusal = assertNotNull(manager.check(W, limits, 100, NOW))

        assertEquals(NotRunReason.WORKSPACE_LIMIT, refusal.reason)
        assertEquals(10.seconds, refusal.retryAfter)
        assertNull(manager.check(W, limits, 100, NOW + 10.seconds))
    }

    @Test
    fun `requests running through other nodes count against the limit`() {
        val limits = listOf(Limit("l", workspaces = "", concurrentRequests = 2))
        assertNull(manager.check(W, limits, 1, NOW))

        val entry = ShareEntry(W, 1, cost = 0.0, tokens = 0, running = 2, demand = 0.0)
        manager.merge(ShareSummary(NodeId("n"), Incarnation("1"), 1, DeploymentId("d"), listOf(entry), 0.0, 0.0), NOW)

        assertNotNull(manager.check(W, limits, 1, NOW))
    }

    private companion object {
        val W = WorkspaceId("w")
        val NOW = Moment.ZERO
    }
}
