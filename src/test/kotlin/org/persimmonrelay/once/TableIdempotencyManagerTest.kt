package org.persimmonrelay.once

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.identity.WorkspaceId
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.platform.SchedulerClock
import org.persimmonrelay.standin.StandInTable
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

class TableIdempotencyManagerTest {
    private val service = StandInTable()
    private val alive = mutableSetOf("a-1", "b-1")
    private var executions = 0
    private var operations = 0

    @Test
    fun `a repeat on another node gets the recorded response and does not run`() = runTest {
        val first = node("a").run(CLAIM) { book() }
        delay(1.seconds)

        val repeat = node("b").run(CLAIM) { book() }

        assertEquals(IdempotentResult.Executed(RESPONSE), first)
        assertEquals(IdempotentResult.Replayed(RESPONSE), repeat)
        assertEquals(1, executions)
    }

    @Test
    fun `another body under the same key is refused, on the same node and on another`() = runTest {
        val a = node("a")
        val running = async { a.run(CLAIM) { bookSlowly() } }
        delay(1.seconds)

        val here = a.run(CLAIM.copy(bodyDigest = "other")) { book() }
        val there = node("b").run(CLAIM.copy(bodyDigest = "other")) { book() }

        assertNotRun(NotRunReason.IDEMPOTENCY_KEY_REUSED, here)
        assertNotRun(NotRunReason.IDEMPOTENCY_KEY_REUSED, there)
        running.await()
        assertEquals(1, executions)
    }

    @Test
    fun `of two concurrent calls on two nodes one runs and the other is refused as in progress`() = runTest {
        val results = listOf(node("a"), node("b")).map { async { it.run(CLAIM) { bookSlowly() } } }.awaitAll()

        assertEquals(1, executions)
        assertEquals(1, results.count { it == IdempotentResult.Executed(RESPONSE) })
        assertNotRun(NotRunReason.IN_PROGRESS, results.single { it is IdempotentResult.Refused })
    }

    @Test
    fun `a repeat after the claimer was killed during the call gets outcome unknown`() = runTest {
        val scope = nodeScope()
        val first = node("a", scope)
        backgroundScope.async { first.run(CLAIM) { bookSlowly() } }
        delay(1.seconds)
        scope.cancel()
        alive -= "a-1"

        val repeat = node("b").run(CLAIM) { book() }
        val afterRestart = node("a", incarnation = "a-2").run(CLAIM) { book() }

        assertIs<Refusal.OutcomeUnknown>(assertIs<IdempotentResult.Refused>(repeat).refusal)
        assertIs<Refusal.OutcomeUnknown>(assertIs<IdempotentResult.Refused>(afterRestart).refusal)
        assertEquals(1, executions)
    }

    @Test
    fun `a call that was not sent releases its claim, so that a repeat runs`() = runTest {
        val refused = node("a").run(CLAIM) { CallOutcome.NotSent("No server.") }

        val repeat = node("b").run(CLAIM) { book() }

        assertNotRun(NotRunReason.NO_SERVER, refused)
        assertEquals(IdempotentResult.Executed(RESPONSE), repeat)
    }

    @Test
    fun `a call is not run when the store is down before the claim`() = runTest {
        service.faults.down = true

        val answer = node("a").run(CLAIM) { book() }

        assertNotRun(NotRunReason.STORE_UNAVAILABLE, answer)
        assertEquals(0, executions)
    }

    @Test
    fun `a call whose claim may not be stored is not run, and a repeat runs after its release`() = runTest {
        service.faults.loseNextAnswers = 2
        val a = node("a")
        val refused = a.run(CLAIM) { book() }
        delay(10.seconds)

        val repeat = node("b").run(CLAIM) { book() }

        assertNotRun(NotRunReason.STORE_UNAVAILABLE, refused)
        assertEquals(IdempotentResult.Executed(RESPONSE), repeat)
        assertEquals(1, executions)
        assertEquals(0, a.openCalls)
    }

    @Test
    fun `a response is returned at once when the store is down and is recorded later`() = runTest {
        val a = node("a")
        val running = async { a.run(CLAIM) { bookSlowly() } }
        delay(1.seconds)
        service.faults.down = true
        assertEquals(IdempotentResult.Executed(RESPONSE), running.await())
        assertEquals(IdempotentResult.Replayed(RESPONSE), a.run(CLAIM) { book() })
        delay(60.seconds)
        service.faults.down = false
        delay(10.seconds)

        val repeat = node("b").run(CLAIM) { book() }

        assertEquals(IdempotentResult.Replayed(RESPONSE), repeat)
        assertEquals(1, executions)
    }

    @Test
    fun `a cancelled caller stops neither the call nor the recording of its outcome`() = runTest {
        val a = node("a")
        val caller = async { a.run(CLAIM) { bookSlowly() } }
        delay(1.seconds)
        caller.cancel()
        delay(10.seconds)

        assertEquals(IdempotentResult.Replayed(RESPONSE), node("b").run(CLAIM) { book() })
        assertEquals(1, executions)
    }

    @Test
    fun `a used key in a batch does not fail the others, and a batch is one transaction`() = runTest {
        node("a").run(CLAIM) { book() }
        val table = table()
        val b = node("b", table = table)

        val results = (0..20).map { async { b.run(CLAIM.copy(key = "key-$it")) { book() } } }.awaitAll()

        assertEquals(20, results.count { it is IdempotentResult.Executed })
        assertEquals(21, executions)
        assertTrue(table.counts.commits.sum() <= 2 + 20, "two commits of claims and twenty of outcomes")
    }

    @Test
    fun `the sweep removes claims after their retention and not before`() = runTest {
        node("a").run(CLAIM) { book() }
        val sweep = ClaimSweep(table(), SchedulerClock(this), ::operation)
        delay(24.hours)
        val early = sweep.pass { true }
        delay(2.hours)

        assertEquals(0, early)
        assertEquals(1, sweep.pass { true })
    }

    private fun TestScope.node(
        name: String,
        scope: CoroutineScope = nodeScope(),
        incarnation: String = "$name-1",
        table: ReliableTable = table(),
    ) = TableIdempotencyManager(
        table = table,
        scope = scope,
        clock = SchedulerClock(this),
        node = NodeId(name),
        incarnation = Incarnation(incarnation),
        liveness = { _, incarnation -> incarnation.value in alive },
        newOperation = ::operation,
    ).apply { start() }

    private fun TestScope.nodeScope() = CoroutineScope(
        backgroundScope.coroutineContext + SupervisorJob(backgroundScope.coroutineContext[Job]),
    )

    private fun TestScope.table() = ReliableTable(service, SchedulerClock(this), Random(1))

    private fun operation() = OperationId("op-${operations++}")

    private fun book(): CallOutcome {
        executions++
        return CallOutcome.Answered(RESPONSE)
    }

    private suspend fun bookSlowly(): CallOutcome {
        executions++
        delay(5.seconds)
        return CallOutcome.Answered(RESPONSE)
    }

    private fun assertNotRun(reason: NotRunReason, answer: IdempotentResult) =
        assertEquals(reason, assertIs<Refusal.NotRun>(assertIs<IdempotentResult.Refused>(answer).refusal).reason)

    private companion object {
        val CLAIM = IdempotencyClaim(WorkspaceId("w"), "key-1", "digest")
        val RESPONSE = RecordedResponse(201, listOf(RecordedHeader("Content-Type", "text/plain")), "b2s=")
    }
}
