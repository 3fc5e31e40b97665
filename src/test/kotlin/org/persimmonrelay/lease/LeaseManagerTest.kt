package org.persimmonrelay.lease

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.platform.SchedulerClock
import org.persimmonrelay.standin.StandInTable
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class LeaseManagerTest {
    private val service = StandInTable()
    private val stopped = mutableSetOf<HolderId>()
    private var operations = 0

    @Test
    fun `after a holder released its lease its successor is exclusive at once`() = runTest {
        val a = compete("a")
        delay(5.seconds)
        val b = compete("b")
        delay(5.seconds)

        a.releaseAll()
        delay(4.seconds)

        assertNull(a.heldLease(DUTY))
        assertTrue(assertNotNull(b.heldLease(DUTY)).isExclusive)
    }

    @Test
    fun `after a takeover the earlier holder stays unresolved until there is evidence that it stopped`() = runTest {
        val firstScope = nodeScope()
        compete("a", firstScope)
        delay(5.seconds)
        val b = compete("b")
        firstScope.cancel()
        delay(20.seconds)
        val unresolved = assertNotNull(b.heldLease(DUTY)).unresolved

        stopped += unresolved
        delay(10.seconds)

        assertEquals(listOf(HolderId(NodeId("a"), Incarnation("a-1"))), unresolved)
        assertTrue(assertNotNull(b.heldLease(DUTY)).isExclusive)
    }

    @Test
    fun `a store outage ends the lease in time, and after the outage the same node holds it again`() = runTest {
        val a = compete("a")
        val b = compete("b")
        delay(5.seconds)
        val holder = listOf(a, b).single { it.heldLease(DUTY) != null }
        service.faults.down = true
        delay(10.seconds)
        val inOutage = holder.heldLease(DUTY)
        delay(60.seconds)
        service.faults.down = false
        delay(12.seconds)

        assertNull(inOutage)
        assertNotNull(holder.heldLease(DUTY))
    }

    @Test
    fun `a holder with a send in flight does not confirm its step-down until the message has expired`() = runTest {
        val a = compete("a")
        delay(5.seconds)
        val heldLease = assertNotNull(a.heldLease(DUTY))
        val request = StepDownRequest(DUTY, heldLease.epoch, HolderId(NodeId("a"), Incarnation("a-1")))
        val send = async { a.runIfHeld(DUTY, heldLease.epoch) { delay(30.seconds) } }
        delay(1.seconds)

        val inSend = a.stepDown(request)
        send.await()
        val rightAfter = a.stepDown(request)
        delay(6.seconds)

        assertFalse(inSend.stopped)
        assertFalse(rightAfter.stopped)
        assertTrue(a.stepDown(request).stopped)
        assertNull(a.runIfHeld(DUTY, heldLease.epoch) { }, "the gate admits no further send of that epoch")
    }

    @Test
    fun `a lost answer to a renewal does not cost the lease`() = runTest {
        val a = compete("a")
        delay(5.seconds)
        val epoch = assertNotNull(a.heldLease(DUTY)).epoch
        repeat(10) {
            service.faults.loseNextAnswers = 1
            delay(3.seconds)
        }

        assertEquals(epoch, a.heldLease(DUTY)?.epoch)
    }

    private fun TestScope.compete(name: String, scope: CoroutineScope = nodeScope()): LeaseManager {
        val clock = SchedulerClock(this)
        val manager = LeaseManager(
            table = ReliableTable(service, clock, Random(1)),
            self = HolderId(NodeId(name), Incarnation("$name-1")),
            clock = clock,
            random = Random(name.hashCode()),
            evidence = { _, _, holder -> holder in stopped },
            liveNodes = { NODES },
            newOperation = { OperationId("op-${operations++}") },
        )
        manager.compete(scope, DUTY)
        return manager
    }

    private fun TestScope.nodeScope() =
        CoroutineScope(backgroundScope.coroutineContext + SupervisorJob(backgroundScope.coroutineContext.job))

    private companion object {
        val DUTY = Duty("duty")
        val NODES = listOf(NodeId("a"), NodeId("b"))
    }
}
