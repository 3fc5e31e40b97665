package org.persimmonrelay.catalog

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.NodeId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class KeyFreshnessTest {
    private val self = NodeId("n0")
    private val members = List(5) { NodeId("n$it") }.toSet()
    private val started = KeyFreshness(limit = 8.seconds).onHeadRead(at(0)).onStarted()

    @Test
    fun `a head read keeps keys fresh for the limit, measured from the start of the read`() {
        assertTrue(started.isFresh(self, members, at(8)))
        assertFalse(started.isFresh(self, members, at(9)))
    }

    @Test
    fun `a majority that includes this node keeps keys fresh without the table service`() {
        val two = started.onReport(report("n1"), 0, at(20)).onReport(report("n2"), 0, at(20))
        val one = started.onReport(report("n1"), 0, at(20))

        assertTrue(two.isFresh(self, members, at(21)))
        assertFalse(one.isFresh(self, members, at(21)))
    }

    @Test
    fun `a node that has just started does not count itself`() {
        val fresh = KeyFreshness(8.seconds).onReport(report("n1"), 0, at(20)).onReport(report("n2"), 0, at(20))

        assertFalse(fresh.isFresh(self, members, at(21)))
        assertTrue(fresh.onReport(report("n3"), 0, at(20)).isFresh(self, members, at(21)))
    }

    @Test
    fun `a report of a peer that has not started or has a newer version is ignored`() {
        val reports = listOf(report("n1").copy(started = false), report("n2").copy(version = 1))

        val after = reports.fold(started) { known, report -> known.onReport(report, 0, at(20)) }

        assertEquals(started, after)
    }

    @Test
    fun `node ages reported by a peer are added up`() {
        val ages = mapOf(NodeId("n2") to 6.seconds, NodeId("n3") to 6.seconds)
        val after = started.onReport(report("n1").copy(nodeAges = ages), 0, at(20))

        assertTrue(after.isFresh(self, members, at(22)))
        assertFalse(after.isFresh(self, members, at(23)))
        assertEquals(8.seconds, after.report(self, 0, at(22)).nodeAges[NodeId("n2")])
    }

    @Test
    fun `the age of a store confirmation reported by a peer is included`() {
        val after = started.onReport(report("n1").copy(storeAge = 3.seconds), 0, at(20))

        assertTrue(after.isFresh(self, members, at(25)))
        assertFalse(after.isFresh(self, members, at(26)))
    }

    @Test
    fun `decoded ages are never less than the encoded ages`() {
        val ages = members.associateWith { it.value.last().digitToInt().seconds / 3 }

        val decoded = NodeAgeCodec.decode(NodeAgeCodec.encode(ages), members)

        assertEquals(members, decoded.keys)
        ages.forEach { (node, age) -> assertTrue(decoded.getValue(node) in age..age + 0.2.seconds) }
    }

    private fun report(node: String) =
        FreshnessReport(NodeId(node), started = true, version = 0, storeAge = null, nodeAges = emptyMap())

    private fun at(seconds: Int): Moment = Moment.ZERO + seconds.seconds
}
