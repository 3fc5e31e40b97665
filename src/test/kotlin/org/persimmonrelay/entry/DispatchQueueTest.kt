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
class DispatchQueueTest {
    private val seen = mutableListOf<DispatchEvent>()

    @Test
    fun `a request waits until the dispatcher is woken and places it`() = runTest {
        val queue = queue { event, now ->
            when (event) {
                is DispatchEvent.Arrived -> listOf(DispatchAction.WakeAt(now + 300.milliseconds))
                is DispatchEvent.Woken -> listOf(DispatchAction.Start(ID, PLACEMENT))
                else -> emptyList()
            }
        }

        val placed = async { queue.place(DispatchEvent.Arrived(REQUEST)) }

        assertEquals(PLACEMENT, placed.await().getOrNull())
        assertEquals(300, currentTime)
        assertEquals(0, queue.waitingRequests)
    }

    @Test
    fun `the dispatcher is woken once, at the earliest requested time`() = runTest {
        val queue = queue { event, now ->
            if (event is DispatchEvent.Arrived) {
                listOf(DispatchAction.WakeAt(now + 300.milliseconds), DispatchAction.WakeAt(now + 100.milliseconds))
            } else {
                emptyList()
            }
        }

        val waiting = launch { queue.place(DispatchEvent.Arrived(REQUEST)) }
        testScheduler.advanceTimeBy(1_000)

        assertEquals(1, seen.count { it is DispatchEvent.Woken })
        waiting.cancelAndJoin()
    }

    @Test
    fun `cancelling a waiting request withdraws it, and the queue is idle when a placed one has ended`() = runTest {
        val queue = queue { _, _ -> emptyList() }
        val waiting = launch { queue.place(DispatchEvent.Arrived(REQUEST)) }
        runCurrent()
        waiting.cancelAndJoin()
        assertEquals(DispatchEvent.Withdrawn(ID), seen.last())
        assertTrue(queue.isIdle)

        val placing = queue { event, _ ->
            if (event is DispatchEvent.Arrived) listOf(DispatchAction.Start(ID, PLACEMENT)) else emptyList()
        }
        val placed = async { placing.place(DispatchEvent.Arrived(REQUEST)) }
        placed.await()
        placing.recordEnd(ID, PLACEMENT.decode, AttemptEnd.CANCELLED)
        assertTrue(placing.isIdle)
    }

    @Test
    fun `an unreachable server gets no new work for a while unless it is the only one`() = runTest {
        val queue = queue { _, _ -> emptyList() }
        queue.serversChanged(listOf(EntryFixture.server("a", "x:1"), EntryFixture.server("b", "x:2")))

        queue.markUnreachable(ServerId("a"))
        assertEquals(listOf(true, false), drainFlags())
        testScheduler.advanceTimeBy(5.seconds)
        assertEquals(listOf(false, false), drainFlags())

        queue.serversChanged(listOf(EntryFixture.server("a", "x:1")))
        queue.markUnreachable(ServerId("a"))
        assertEquals(listOf(false), drainFlags())
    }

    private fun drainFlags() = seen.filterIsInstance<DispatchEvent.ServersChanged>().last().servers.map { it.drain }

    private fun TestScope.queue(decide: (DispatchEvent, Moment) -> List<DispatchAction>): DispatchQueue {
        val dispatcher =
            object : Dispatcher {
                override fun on(event: DispatchEvent, now: Moment): List<DispatchAction> {
                    seen += event
                    return decide(event, now)
                }
            }
        return DispatchQueue(dispatcher, VirtualClock(this), backgroundScope)
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
