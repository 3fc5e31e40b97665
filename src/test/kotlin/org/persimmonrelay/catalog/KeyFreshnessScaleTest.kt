package org.persimmonrelay.catalog

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.NodeId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Two probes per second from each of 370 nodes keep all nodes fresh while the table service is unavailable. */
class KeyFreshnessScaleTest {
    private val members = List(370) { NodeId("node-$it") }
    private val all = members.toSet()
    private val random = Random(11)
    private val states = members.associateWithTo(HashMap()) {
        KeyFreshness(8.seconds).onHeadRead(Moment.ZERO).onStarted()
    }

    @Test
    fun `all nodes stay fresh during an outage of the table service`() {
        val stale = staleDuringOutage(members)

        assertEquals(0, stale)
    }

    @Test
    fun `no node stays fresh when the network is partitioned into halves`() {
        val stale = staleDuringOutage(members.take(185)) + staleDuringOutage(members.drop(185))

        assertEquals(370 * CHECKED_TICKS, stale)
    }

    @Test
    fun `encoded node ages fit into 2,000 bytes`() {
        staleDuringOutage(members)

        assertTrue(
            states.values.all {
                NodeAgeCodec.encode(it.report(members[0], 0, Moment.ZERO + DURATION).nodeAges).size <=
                    2_000
            },
        )
    }

    /**
     * Simulates an outage in which the nodes of [group] connect only to each other. Returns the number of stale nodes,
     * summed over the ticks of its second half.
     */
    private fun staleDuringOutage(group: List<NodeId>): Int {
        var stale = 0
        var now = Moment.ZERO
        while (now < Moment.ZERO + DURATION) {
            now += TICK
            group.forEach { prober -> probe(prober, group.random(random), now) }
            if (now > Moment.ZERO + DURATION / 2) stale += group.count { !states.getValue(it).isFresh(it, all, now) }
        }
        return stale
    }

    private fun probe(prober: NodeId, target: NodeId, now: Moment) {
        if (prober == target) return
        val report = states.getValue(target).report(target, 0, now)
        states[prober] = states.getValue(prober).onReport(report, 0, now)
    }

    private companion object {
        val TICK = 500.milliseconds
        val DURATION = 30.seconds
        const val CHECKED_TICKS = 30
    }
}
