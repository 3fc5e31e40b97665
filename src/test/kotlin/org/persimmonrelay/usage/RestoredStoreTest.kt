package org.persimmonrelay.usage

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Usage reports of nodes whose store comes back from an older copy. */
class RestoredStoreTest {
    /** Guards against a second, different report of a usage window whose record the store has lost. */
    @Test
    fun `a window that was reported before the store was restored is not reported again with other counts`() =
        forEachRestore { fleet, age ->
            fleet.restoreStore(age.milliseconds, away = 2.seconds)
            delay(30.seconds)

            assertEquals(emptySet(), fleet.reports.conflictingWindows, "copy $age ms old")
        }

    /** Guards against the same where the reporter's process, or all processes, end with the store. */
    @Test
    fun `nor is it when nodes are restarted meanwhile`() = forEachRestore { fleet, age ->
        fleet.restoreStore(age.milliseconds, away = 1.seconds, meanwhile = fleet::restartReporter)
        delay(12.seconds)
        fleet.restoreStore(age.milliseconds, away = 1.seconds, meanwhile = fleet::restartAll)
        delay(30.seconds)

        assertEquals(emptySet(), fleet.reports.conflictingWindows, "copy $age ms old")
    }

    /** Guards against nodes that never store their usage again after the store was restored. */
    @Test
    fun `windows that end after the store was restored are reported in full`() = forEachRestore { fleet, age ->
        fleet.restoreStore(age.milliseconds, away = 2.seconds)
        val restoredAt = testScheduler.currentTime
        delay(30.seconds)

        val later = fleet.reportedRequests().filterKeys { it >= restoredAt }
        assertTrue(later.size >= 3, "${later.keys} with a copy $age ms old")
        later.forEach { (start, requests) -> assertEquals(REQUESTS_PER_WINDOW, requests, TOLERANCE, "window $start") }
    }

    /** Guards against a window that is closed before all nodes have stored again what the store has lost. */
    @Test
    fun `each window that is reported has all of its requests`() = forEachRestore { fleet, age ->
        val startedAt = testScheduler.currentTime
        fleet.restoreStore(age.milliseconds, away = 2.seconds) { fleet.disconnectBystander(4.seconds) }
        delay(30.seconds)

        fleet.reportedRequests().filterKeys { it >= startedAt - 10_000 }.forEach { (start, requests) ->
            assertEquals(REQUESTS_PER_WINDOW, requests, TOLERANCE, "window $start with a copy $age ms old")
        }
    }

    /** Guards against two holders that act under one fencing token, and against tokens that go back. */
    @Test
    fun `fencing tokens rise with each change of the holder, also when the store has lost a takeover`() =
        forEachRestore { fleet, age ->
            fleet.restartReporter()
            fleet.restoreStore(age.milliseconds, away = 4.seconds, meanwhile = fleet::restartReporter)
            delay(20.seconds)

            val holders = fleet.sent.groupBy({ it.token }, { it.node })
            assertTrue(holders.values.all { it.distinct().size == 1 }, "$holders with a copy $age ms old")
            assertEquals(fleet.sent.map { it.token }.sorted(), fleet.sent.map { it.token })
            assertEquals(emptySet(), fleet.reports.conflictingWindows)
        }

    private fun forEachRestore(test: suspend TestScope.(UsageFleet, Int) -> Unit) = runTest {
        for (age in 500..12_500 step 750) {
            val fleet = UsageFleet(this, nodeCount = 3, seed = age)
            delay(20.seconds + (age * 7 % 5_000).milliseconds)
            test(fleet, age)
            fleet.stop()
        }
    }

    private fun assertEquals(expected: Long, actual: Long, tolerance: Long, message: String) =
        assertTrue(actual in expected - tolerance..expected + tolerance, "$message: $actual in place of $expected")

    private companion object {
        /** Three nodes count ten requests a second each for five seconds. */
        const val REQUESTS_PER_WINDOW = 150L
        const val TOLERANCE = 3L
    }
}
