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
    fun `a repeat on another node gets the recorded answer and does not run`() = runTest {
        val first = node("a").run(CLAIM) { booked() }
        delay(1.seconds)

        val repeat = node("b").run(CLAIM) { booked() }

        assertEquals(IdempotentResult.Executed(ANSWER), first)
        assertEquals(IdempotentResult.Replayed(ANSWER), repeat)
        assertEquals(1, executions)
    }

    @Test
    fun `another body under the same key is refused, on the same node and on another`() = runTest {
        val a = node("a")
        val running = async { a.run(CLAIM) { slowlyBooked() } }
        delay(1.seconds)

        val here = a.run(CLAIM.copy(bodyDigest = "other")) { booked() }
        val there = node("b").run(CLAIM.copy(bodyDigest = "other")) { booked() }

        assertNotRun(NotRunReason.IDEMPOTENCY_KEY_REUSED, here)
        assertNotRun(NotRunReason.IDEMPOTENCY_KEY_REUSED, there)
        running.await()
        assertEquals(1, executions)
    }

    @Test
    fun `two nodes at once run the call once, and the loser hears that it is in progress`() = runTest {
        val answers = listOf(node("a"), node("b")).map { async { it.run(CLAIM) { slowlyBooked() } } }.awaitAll()

        assertEquals(1, executions)
        assertEquals(1, answers.count { it == IdempotentResult.Executed(ANSWER) })
        assertNotRun(NotRunReason.IN_PROGRESS, answers.single { it is IdempotentResult.Refused })
    }

    @Test
    fun `after the claimer was killed in the call a repeat hears that the outcome is unknown`() = runTest {
        val scope = nodeScope()
        val first = node("a", scope)
        backgroundScope.async { first.run(CLAIM) { slowlyBooked() } }
        delay(1.seconds)
        scope.cancel()
        alive -= "a-1"

        val repeat = node("b").run(CLAIM) { booked() }
        val afterRestart = node("a", incarnation = "a-2").run(CLAIM) { booked() }

        assertIs<Refusal.OutcomeUnknown>(assertIs<IdempotentResult.Refused>(repeat).refusal)
        assertIs<Refusal.OutcomeUnknown>(assertIs<IdempotentResult.Refused>(afterRestart).refusal)
        assertEquals(1, executions)
    }

    @Test
    fun `a call that was not sent releases its claim, so that a repeat runs`() = runTest {
        val refused = node("a").run(CLAIM) { CallOutcome.NotSent("No server.") }

        val repeat = node("b").run(CLAIM) { booked() }

        assertNotRun(NotRunReason.NO_SERVER, refused)
        assertEquals(IdempotentResult.Executed(ANSWER), repeat)
    }

    @Test
    fun `with the store down before the claim nothing runs`() = runTest {
        service.faults.down = true

        val answer = node("a").run(CLAIM) { booked() }

        assertNotRun(NotRunReason.STORE_UNAVAILABLE, answer)
        assertEquals(0, executions)
    }

    @Test
    fun `a claim whose answers are all lost is not run, and is released so that a later repeat runs`() = runTest {
        service.faults.loseNextResponses = 2
        val a = node("a")
        val refused = a.run(CLAIM) { booked() }
        delay(10.seconds)

        val repeat = node("b").run(CLAIM) { booked() }

        assertNotRun(NotRunReason.STORE_UNAVAILABLE, refused)
        assertEquals(IdempotentResult.Executed(ANSWER), repeat)
        assertEquals(1, executions)
        assertEquals(0, a.openCalls)
    }

    @Test
    fun `with the store down during the call the answer comes at once and is recorded later`() = runTest {
        val a = node("a")
        val running = async { a.run(CLAIM) { slowlyBooked() } }
        delay(1.seconds)
        service.faults.down = true
        assertEquals(IdempotentResult.Executed(ANSWER), running.await())
        assertEquals(IdempotentResult.Replayed(ANSWER), a.run(CLAIM) { booked() })
        delay(60.seconds)
        service.faults.down = false
        delay(10.seconds)

        val repeat = node("b").run(CLAIM) { booked() }

        assertEquals(IdempotentResult.Replayed(ANSWER), repeat)
        assertEquals(1, executions)
    }

    @Test
    fun `a vanished caller does not stop the call or its record`() = runTest {
        val a = node("a")
        val caller = async { a.run(CLAIM) { slowlyBooked() } }
        delay(1.seconds)
        caller.cancel()
        delay(10.seconds)

        assertEquals(IdempotentResult.Replayed(ANSWER), node("b").run(CLAIM) { booked() })
        assertEquals(1, executions)
    }

    @Test
    fun `a used key in a batch does not fail its neighbours, and a batch is one transaction`() = runTest {
        node("a").run(CLAIM) { booked() }
        val table = table()
        val b = node("b", table = table)

        val answers = (0..20).map { async { b.run(CLAIM.copy(key = "key-$it")) { booked() } } }.awaitAll()

        assertEquals(20, answers.count { it is IdempotentResult.Executed })
        assertEquals(21, executions)
        assertTrue(table.counts.commits.sum() <= 2 + 20, "two commits of claims and twenty records")
    }

    @Test
    fun `the sweep removes claims after their retention and not before`() = runTest {
        node("a").run(CLAIM) { booked() }
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
        liveness = { _, life -> life.value in alive },
        newOperation = ::operation,
    ).apply { start() }

    private fun TestScope.nodeScope() = CoroutineScope(
        backgroundScope.coroutineContext + SupervisorJob(backgroundScope.coroutineContext[Job]),
    )

    private fun TestScope.table() = ReliableTable(service, SchedulerClock(this), Random(1))

    private fun operation() = OperationId("op-${operations++}")

    private fun booked(): CallOutcome {
        executions++
        return CallOutcome.Answered(ANSWER)
    }

    private suspend fun slowlyBooked(): CallOutcome {
        executions++
        delay(5.seconds)
        return CallOutcome.Answered(ANSWER)
    }

    private fun assertNotRun(reason: NotRunReason, answer: IdempotentResult) =
        assertEquals(reason, assertIs<Refusal.NotRun>(assertIs<IdempotentResult.Refused>(answer).refusal).reason)

    private companion object {
        val CLAIM = IdempotencyClaim(WorkspaceId("w"), "key-1", "digest")
        val ANSWER = RecordedResponse(201, listOf(RecordedHeader("Content-Type", "text/plain")), "b2s=")
    }
}
