package org.persimmonrelay.measure

import org.persimmonrelay.clock.SystemClock
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.membership.MembershipEvent
import org.persimmonrelay.timeline.TimelineRing
import org.persimmonrelay.timeline.with

/** Heap that the ring buffer of events uses, by the number of events in it. */
public class TimelineMeasure : Measure {
    override val name: String = "timeline"

    override fun run(): List<Slope> = listOf(
        Slope.fit(
            "time line ring",
            "heap bytes",
            "event",
            SIZES.flatMap { size ->
                List(REPEATS) { heap(size) }
            },
        ),
    )

    private fun heap(size: Int): MeasurePoint {
        val before = MemoryGauge.heapBytes()
        val ring = TimelineRing(NodeId("node-1"), Incarnation("1"), size, SystemClock, log = { _, _ -> })
        repeat(size) {
            ring.record(MembershipEvent.MEMBER_FAILED, "member" with "node-$it", "region" with "region-${it % REGIONS}")
        }
        val used = MemoryGauge.heapBytes() - before
        check(ring.after(0, 1).entries.isNotEmpty())
        return MeasurePoint(size.toDouble(), used.toDouble())
    }

    private companion object {
        val SIZES = listOf(4_096, 16_384, 65_536)
        const val REPEATS = 3
        const val REGIONS = 8
    }
}
