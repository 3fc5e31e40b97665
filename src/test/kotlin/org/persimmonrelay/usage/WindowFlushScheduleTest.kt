package org.persimmonrelay.usage

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How often nodes store their usage counts, by their number. */
class WindowFlushScheduleTest {
    private val window = 5.seconds

    @Test
    fun `few nodes flush several times in a window`() {
        assertEquals(4, flushesIn(5.seconds * 10, nodes = 7) / 10)
    }

    @Test
    fun `many nodes flush once in a window, soon after its end`() {
        val schedule = WindowFlushSchedule(window, { 95 }, Random(1))

        val afterEnd =
            List(100) { start ->
                (start * 137L + schedule.timeToNextFlush(start * 137L).inWholeMilliseconds) %
                    5_000
            }

        assertTrue(afterEnd.all { it in 0..750 })
        assertTrue(afterEnd.distinct().size > 50, "spread")
    }

    private fun flushesIn(time: Duration, nodes: Int): Int {
        val schedule = WindowFlushSchedule(window, { nodes }, Random(1))
        var at = 0.milliseconds
        var flushes = 0
        while (at < time) {
            at += schedule.timeToNextFlush(at.inWholeMilliseconds)
            flushes++
        }
        return flushes
    }
}
