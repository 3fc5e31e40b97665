package org.persimmonrelay.catalog

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.NodeId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Two questions a second for each of 370 nodes are enough to keep all of them fresh while the store is out. */
class KeyFreshnessScaleTest {
    private val members = List(370) { NodeId("node-$it") }
    private val all = members.toSet()
    private val random = Random(11)
    private val states = members.associateWithTo(HashMap()) {
        KeyFreshness(8.seconds).onHeadRead(Moment.ZERO).onStarted()
    }

    @Test
    fun `all nodes stay fresh through an outage of the store`() {
        val stale = outage(members)

        assertEquals(0, stale)
    }

    @Test
    fun `nobody stays fresh in halves that don't see each other`() {
        val stale = outage(members.take(185)) + outage(members.drop(185))

        assertEquals(370 * CHECKED_TICKS, stale)
    }

    @Test
    fun `an answer fits into two kilobytes`() {
        outage(members)

        assertTrue(
            states.values.all {
                HeardCodec.pack(it.report(members[0], 0, Moment.ZERO + LENGTH).heard).size <=
                    2_000
            },
        )
    }

    /** Ticks in which a node of [group] was stale, over the second half of the outage. */
    private fun outage(group: List<NodeId>): Int {
        var stale = 0
        var now = Moment.ZERO
        while (now < Moment.ZERO + LENGTH) {
            now += TICK
            group.forEach { asker -> ask(asker, group.random(random), now) }
            if (now > Moment.ZERO + LENGTH / 2) stale += group.count { !states.getValue(it).isFresh(it, all, now) }
        }
        return stale
    }

    private fun ask(asker: NodeId, asked: NodeId, now: Moment) {
        if (asker == asked) return
        val report = states.getValue(asked).report(asked, 0, now)
        states[asker] = states.getValue(asker).onReport(report, 0, now)
    }

    private companion object {
        val TICK = 500.milliseconds
        val LENGTH = 30.seconds
        const val CHECKED_TICKS = 30
    }
}
