package org.persimmonrelay.entry

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.RequestId
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.identity.WorkspaceId
import org.persimmonrelay.routing.AttemptEnd
import org.persimmonrelay.routing.DispatchAction
import org.persimmonrelay.routing.DispatchEvent
import org.persimmonrelay.routing.DispatchRequest
import org.persimmonrelay.routing.Dispatcher
import org.persimmonrelay.routing.EnginePlacement
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalCoroutinesApi::class)
class DispatchGateTest {
    private val seen = mutableListOf<DispatchEvent>()

    @Test
    fun `a request waits until the dispatcher asks to be woken and places it`() = runTest {
        val gate = gate { event, now ->
            when (event) {
                is DispatchEvent.Arrived -> listOf(DispatchAction.WakeAt(now + 300.milliseconds))
                is DispatchEvent.Woken -> listOf(DispatchAction.Start(ID, PLACEMENT))
                else -> emptyList()
            }
        }

        val placed = async { gate.place(DispatchEvent.Arrived(REQUEST)) }

        assertEquals(PLACEMENT, placed.await().getOrNull())
        assertEquals(300, currentTime)
        assertEquals(0, gate.waitingRequests)
    }

    @Test
    fun `the earliest moment asked for wakes the dispatcher, and only once`() = runTest {
        val gate = gate { event, now ->
            if (event is DispatchEvent.Arrived) {
                listOf(DispatchAction.WakeAt(now + 300.milliseconds), DispatchAction.WakeAt(now + 100.milliseconds))
            } else {
                emptyList()
            }
        }

        val waiting = launch { gate.place(DispatchEvent.Arrived(REQUEST)) }
        testScheduler.advanceTimeBy(1_000)

        assertEquals(1, seen.count { it is DispatchEvent.Woken })
        waiting.cancelAndJoin()
    }

    @Test
    fun `a caller that leaves while it waits is withdrawn, one that was placed is ended`() = runTest {
        val gate = gate { _, _ -> emptyList() }
        val waiting = launch { gate.place(DispatchEvent.Arrived(REQUEST)) }
        runCurrent()
        waiting.cancelAndJoin()
        assertEquals(DispatchEvent.Withdrawn(ID), seen.last())
        assertTrue(gate.isIdle)

        val placing = gate { event, _ ->
            if (event is DispatchEvent.Arrived) listOf(DispatchAction.Start(ID, PLACEMENT)) else emptyList()
        }
        val placed = async { placing.place(DispatchEvent.Arrived(REQUEST)) }
        placed.await()
        placing.ended(ID, PLACEMENT.decode, AttemptEnd.CANCELLED)
        assertTrue(placing.isIdle)
    }

    @Test
    fun `a server that can't be reached gets no new work for a while unless it is the only one`() = runTest {
        val gate = gate { _, _ -> emptyList() }
        gate.serversChanged(listOf(EntryFixture.server("a", "x:1"), EntryFixture.server("b", "x:2")))

        gate.unreachable(ServerId("a"))
        assertEquals(listOf(true, false), drains())
        testScheduler.advanceTimeBy(5.seconds)
        assertEquals(listOf(false, false), drains())

        gate.serversChanged(listOf(EntryFixture.server("a", "x:1")))
        gate.unreachable(ServerId("a"))
        assertEquals(listOf(false), drains())
    }

    private fun drains() = seen.filterIsInstance<DispatchEvent.ServersChanged>().last().servers.map { it.drain }

    private fun TestScope.gate(decide: (DispatchEvent, Moment) -> List<DispatchAction>): DispatchGate {
        val dispatcher =
            object : Dispatcher {
                override fun on(event: DispatchEvent, now: Moment): List<DispatchAction> {
                    seen += event
                    return decide(event, now)
                }
            }
        return DispatchGate(dispatcher, VirtualClock(this), backgroundScope)
    }

    private class VirtualClock(private val scope: TestScope) : Clock {
        override fun now() = Moment.ZERO + scope.currentTime.milliseconds

        override fun wallMillis() = scope.currentTime
    }

    private companion object {
        val ID = RequestId("r1")
        val PLACEMENT = EnginePlacement(ServerId("a"), ServerId("a"))
        val REQUEST = DispatchRequest(ID, WorkspaceId("w"), 1, 10, 10, LongArray(0), 0, Moment.ZERO)
    }
}
