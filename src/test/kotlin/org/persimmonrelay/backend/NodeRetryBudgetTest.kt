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
    private val rule = RetryBudgetPolicy(ratio = 0.2, minimum = 50, window = 10.seconds)

    @Test
    fun `all nodes together stay within the budget in any window`() {
        val nodes = 7
        val allowances = List(nodes) { NodeRetryBudget({ rule }, { nodes }) }
        var now = Moment.ZERO
        val repeats = ArrayDeque<Moment>()
        val requests = ArrayDeque<Moment>()

        repeat(3_000) { step ->
            now += 20.milliseconds
            val allowance = allowances[step % nodes]
            allowance.requestArrived(service, now)
            requests += now
            repeat(2) { if (allowance.tryAcquire(service, now)) repeats += now }
            while (repeats.isNotEmpty() && repeats.first() < now - rule.window) repeats.removeFirst()
            while (requests.isNotEmpty() && requests.first() < now - rule.window) requests.removeFirst()

            assertTrue(repeats.size <= requests.size * rule.ratio + rule.minimum, "at $now")
        }
    }

    @Test
    fun `a lone node may use the whole fixed part but its margin`() {
        val allowance = NodeRetryBudget({ rule }, { 1 })

        repeat(35) { assertTrue(allowance.tryAcquire(service, Moment.ZERO)) }

        assertFalse(allowance.tryAcquire(service, Moment.ZERO))
        assertTrue(allowance.tryAcquire(service, Moment.ZERO + 11.seconds))
    }
}
