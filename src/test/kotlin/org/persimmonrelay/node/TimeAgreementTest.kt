package org.persimmonrelay.node

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.clock.SharedWallClock
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.standin.StandInTable
import org.persimmonrelay.usage.TableClient
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class TimeAgreementTest {
    private val table = StandInTable(restores = 1)

    /** Guards against nodes whose shared time differs because the restored store has lost the offset. */
    @Test
    fun `a node that joins after the store was restored gets the time that was agreed before`() = runTest {
        val beforeAll = table.copy()
        val first = join(wallMillis = 1_000_000)
        delay(2.seconds)
        table.restore(beforeAll)
        // The store's clock goes on; the first node hears of the restore by one of its own calls.
        first.call()
        delay(3.seconds)

        val second = join(wallMillis = 1_007_000)
        delay(2.seconds)

        assertEquals(first.clock.wallMillis(), second.clock.wallMillis())
    }

    private class Joined(val clock: SharedWallClock, private val table: ReliableTable) {
        suspend fun call() = table.read(listOf("any"))
    }

    /** A node whose host had the time [wallMillis] at the start of the test. */
    private fun TestScope.join(wallMillis: Long): Joined {
        val host = object : Clock {
            override fun now() = Moment.ZERO + testScheduler.currentTime.milliseconds

            override fun wallMillis() = wallMillis + testScheduler.currentTime
        }
        val clock = SharedWallClock(host)
        clock.recordStoreTime(testScheduler.currentTime, host.now())
        val reliable = ReliableTable(TableClient(table), host, Random(1))
        val agreement = TimeAgreement(reliable, clock, { OperationId("o$wallMillis") }) { _, _ -> }
        backgroundScope.launch { agreement.run() }
        return Joined(clock, reliable)
    }
}
