package org.persimmonrelay.usage

import org.persimmonrelay.identity.Incarnation
import kotlin.test.Test
import kotlin.test.assertEquals

class WindowPlanTest {
    @Test
    fun `a window is closed once it is due, with its own segments summed by workspace`() {
        val plan = plan(dueBefore = 20, closed = emptySet(), segment(1, 0, "w" to 5), segment(2, 0, "w" to 7)).single()

        val report = plan.reports("0", Long::toString).single()

        assertEquals(12, report.promptTokens)
        assertEquals(2, report.requests)
        assertEquals(null, report.adjustmentOf)
    }

    @Test
    fun `a segment of a closed window becomes an adjustment in a later one`() {
        val plan = plan(dueBefore = 20, closed = setOf(0), segment(1, 0, "w" to 5), segment(2, 10, "w" to 7)).single()

        val reports = plan.reports("10", Long::toString)

        assertEquals(10, plan.windowStart)
        assertEquals(listOf("0" to 5L, null to 7L), reports.map { it.adjustmentOf to it.promptTokens })
    }

    @Test
    fun `an adjustment alone goes into the latest due window, and waits if that is closed`() {
        val late = segment(1, 0, "w" to 5)

        assertEquals(10, plan(dueBefore = 25, closed = setOf(0), late).single().windowStart)
        assertEquals(emptyList(), plan(dueBefore = 25, closed = setOf(0, 10), late))
    }

    @Test
    fun `a window that is not due is not closed`() {
        assertEquals(emptyList(), plan(dueBefore = 19, closed = emptySet(), segment(1, 10, "w" to 5)))
    }

    private fun plan(dueBefore: Long, closed: Set<Long>, vararg segments: StoredSegment) =
        planWindows(segments.toList(), { it in closed }, dueBefore, windowMillis = 10)

    private fun segment(sequence: Long, start: Long, usage: Pair<String, Long>) = StoredSegment(
        key = "segment-$sequence",
        version = 1,
        segment = Segment(Incarnation("i"), sequence, start, listOf(WorkspaceUsage(usage.first, usage.second, 0, 1))),
    )
}
