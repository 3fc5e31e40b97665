package org.persimmonrelay.timeline

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class SupervisedLoopTest {
    private val events = ArrayList<EventCode>()
    private val sink = EventSink { code, _ -> events += code }

    @Test
    fun `a loop that fails is logged and started again`() = runTest {
        var starts = 0
        backgroundScope.launchSupervised("test", sink) {
            starts++
            check(starts == 3) { "malformed" }
            delay(Duration.INFINITE)
        }

        advanceTimeBy(10.seconds)

        assertEquals(3, starts)
        assertEquals<List<EventCode>>(List(2) { LoopEvent.LOOP_RESTARTED }, events)
    }

    @Test
    fun `a cancelled loop ends without a log line`() = runTest {
        val job = backgroundScope.launchSupervised("test", sink) { delay(Duration.INFINITE) }
        runCurrent()

        job.cancel()
        runCurrent()

        assertTrue(job.isCompleted)
        assertEquals<List<EventCode>>(emptyList(), events)
    }
}
