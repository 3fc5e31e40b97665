package org.persimmonrelay.timeline

import org.persimmonrelay.clock.ManualClock
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class TimelineTest {
    private enum class Sample(override val number: Int, override val summary: String) : EventCode {
        STARTED(1001, "The node started."),
        MOVED(1802, "A member <moved>."),
    }

    private val clock = ManualClock(wallOffsetMillis = 1_700_000_000_000)

    @Test
    fun `a full ring drops its oldest events and counts them`() {
        val ring = ring("a", capacity = 3)
        repeat(5) { ring.record(Sample.STARTED, "turn" with it) }

        val excerpt = ring.after(sequence = 0, limit = 10)

        assertEquals(listOf(3L, 4L, 5L), excerpt.entries.map { it.sequence })
        assertEquals(2, excerpt.overwritten)
        assertEquals(listOf(5L), ring.after(sequence = 4, limit = 10).entries.map { it.sequence })
    }

    @Test
    fun `events of several nodes are merged in causal order without duplicates`() {
        val (a, b) = ring("a") to ring("b")
        a.record(Sample.STARTED)
        clock.advance(5.milliseconds)
        b.record(Sample.MOVED)
        clock.advance(5.milliseconds)
        a.record(Sample.MOVED)
        val lanes = listOf(lane("b", b), lane("a", a), lane("a", a))

        val merged = MergedTimeline.of(lanes)

        assertEquals(listOf("a 1", "b 1", "a 2"), merged.entries.map { "${it.node} ${it.sequence}" })
    }

    @Test
    fun `text and page show events and the nodes that could not be collected`() {
        val ring = ring("a")
        ring.record(Sample.MOVED, "to" with "<b>")
        val notCollected = NodeTimeline(NodeId("z"), "north/one", emptyList(), failure = "no answer in 2s")
        val merged = MergedTimeline.of(listOf(lane("a", ring), notCollected))

        val text = TimelineText.render(merged)
        val page = TimelineHtml.render(merged)

        assertTrue("! z: not collected: no answer in 2s" in text)
        assertTrue("22:13:20.000  a  1802 MOVED  to=<b>" in text, text)
        assertTrue("track missing" in page && "A member &lt;moved&gt;." in page)
        assertFalse("<moved>" in page || "http://" in page || "https://" in page)
    }

    private fun ring(node: String, capacity: Int = 10) = TimelineRing(NodeId(node), Incarnation("1"), capacity, clock)

    private fun lane(node: String, ring: TimelineRing): NodeTimeline {
        val excerpt = ring.after(0, 100)
        return NodeTimeline(NodeId(node), "north/one", excerpt.entries, excerpt.overwritten)
    }
}
