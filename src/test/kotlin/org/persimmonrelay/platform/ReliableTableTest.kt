package org.persimmonrelay.platform

import arrow.core.Either
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.standin.StandInTable
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ReliableTableTest {
    private val service = StandInTable()

    @Test
    fun `a commit whose response is lost after the write is reported as committed`() = runTest {
        val table = table()
        service.faults.loseNextResponses = 1

        val outcome = table.commit(create("a", "op-1"))

        assertEquals(CommitOutcome.Committed, outcome)
        assertEquals(1, service.writes, "the commit must not be written twice")
        assertEquals(1, table.counts.settled.sum())
    }

    @Test
    fun `a commit that times out before its write is sent again and takes effect once`() = runTest {
        val table = table()
        service.faults.delay = 2.seconds
        val commit = async { table.commit(create("a", "op-1")) }
        delay(900.milliseconds)

        service.faults.delay = 0.seconds

        assertEquals(CommitOutcome.Committed, commit.await())
        assertEquals(1, service.read(listOf("a")).getOrNull()!!.single().version)
    }

    @Test
    fun `a lost commit is reported as a conflict after one other write`() = runTest {
        service.commit(create("a", "op-0"))
        val lossy = DropsFirstCommit(service) { service.commit(update("a", 1, "other")) }

        val outcome = table(lossy).commit(update("a", 1, "op-1"))

        assertEquals("other", assertIs<CommitOutcome.Conflict>(outcome).current.single().operation.value)
    }

    @Test
    fun `the outcome of a lost commit is unknown after two other writes`() = runTest {
        service.commit(create("a", "op-0"))
        val lossy = DropsFirstCommit(service) {
            service.commit(update("a", 1, "other-1"))
            service.commit(update("a", 2, "other-2"))
        }

        val outcome = table(lossy).commit(update("a", 1, "op-1"))

        assertIs<CommitOutcome.Unknown>(outcome)
    }

    @Test
    fun `an outage opens the circuit breaker, which then sends only single probes`() = runTest {
        val counted = CountingTable(service)
        val table = table(counted)
        service.faults.down = true
        repeat(3) { table.read(listOf("a")) }
        counted.calls = 0

        val refused = table.commit(create("a", "op-1"))
        val readsInOutage = (1..50).map {
            async {
                delay((100 * it).milliseconds)
                table.read(listOf("a"))
            }
        }
        readsInOutage.awaitAll()
        val callsInOutage = counted.calls

        assertIs<CommitOutcome.NotSent>(refused)
        assertTrue(callsInOutage in 1..8, "5 s of outage took $callsInOutage calls")
        service.faults.down = false
        delay(5.seconds)
        assertTrue(table.read(listOf("a")).isRight(), "the first call after the backoff closes the breaker")
    }

    @Test
    fun `calls beyond the rate limit of the node are refused`() = runTest {
        val table = table(settings = TableClientSettings(readsPerSecond = 10.0, burstSeconds = 1.0))

        val answers = (1..100).map { async { table.read(listOf("a")) } }.awaitAll()

        assertTrue(service.reads <= 12, "a burst of 10 and 200 ms of waiting allow 12 reads, not ${service.reads}")
        assertEquals(100 - service.reads, answers.count { it.isLeft() }.toLong())
        assertEquals(100 - service.reads, table.counts.refusedByBudget.sum())
    }

    private fun TestScope.table(base: TableService = service, settings: TableClientSettings = TableClientSettings()) =
        ReliableTable(base, SchedulerClock(this), Random(1), settings)

    private fun create(key: String, operation: String) =
        Transaction(OperationId(operation), listOf(Condition.Absent(key)), listOf(Write.Put(key, operation)))

    private fun update(key: String, version: Long, operation: String) = Transaction(
        OperationId(operation),
        listOf(Condition.VersionIs(key, version)),
        listOf(Write.Put(key, operation)),
    )

    private class CountingTable(private val inner: TableService) : TableService by inner {
        var calls = 0

        override suspend fun read(keys: List<String>): Either<StoreUnavailable, List<Row>> {
            calls++
            return inner.read(keys)
        }
    }

    /** Runs [beforeFailure] at the first commit, then fails that commit without applying it. */
    private class DropsFirstCommit(private val inner: TableService, private val beforeFailure: suspend () -> Unit) :
        TableService by inner {
        private var dropped = false

        override suspend fun commit(transaction: Transaction): Either<StoreUnavailable, CommitResult> {
            if (dropped) return inner.commit(transaction)
            dropped = true
            beforeFailure()
            return Either.Left(StoreUnavailable("lost"))
        }
    }
}

/** A clock that reads the virtual time of a test. */
class SchedulerClock(private val scope: TestScope) : Clock {
    override fun now(): Moment = Moment(scope.testScheduler.currentTime * 1_000_000)

    override fun wallMillis(): Long = scope.testScheduler.currentTime
}
