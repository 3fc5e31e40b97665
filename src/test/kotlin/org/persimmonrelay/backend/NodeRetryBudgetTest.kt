package org.persimmonrelay.backend

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.route.ServiceId
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class NodeRetryBudgetTest {
    private val service = ServiceId("yard-desk")
    private val policy = RetryBudgetPolicy(ratio = 0.2, minimum = 50, window = 10.seconds)

    @Test
    fun `all nodes together stay within the budget in any window`() {
        val nodes = 7
        val budgets = List(nodes) { NodeRetryBudget({ policy }, { nodes }) }
        var now = Moment.ZERO
        val retries = ArrayDeque<Moment>()
        val requests = ArrayDeque<Moment>()

        repeat(3_000) { step ->
            now += 20.milliseconds
            val budget = budgets[step % nodes]
            budget.requestArrived(service, now)
            requests += now
            repeat(2) { if (budget.tryAcquire(service, now)) retries += now }
            while (retries.isNotEmpty() && retries.first() < now - policy.window) retries.removeFirst()
            while (requests.isNotEmpty() && requests.first() < now - policy.window) requests.removeFirst()

            assertTrue(retries.size <= requests.size * policy.ratio + policy.minimum, "at $now")
        }
    }

    @Test
    fun `a single node may use the whole minimum except the safety margin`() {
        val budget = NodeRetryBudget({ policy }, { 1 })

        repeat(35) { assertTrue(budget.tryAcquire(service, Moment.ZERO)) }

        assertFalse(budget.tryAcquire(service, Moment.ZERO))
        assertTrue(budget.tryAcquire(service, Moment.ZERO + 11.seconds))
    }
}
