package org.persimmonrelay.scale

import org.persimmonrelay.backend.ServiceDemand
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.route.ServiceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class LoadHistoryTest {
    private val service = ServiceId("llm")
    private val domain = FailureDomain("puget-a")
    private val history = LoadHistory()

    @Test
    fun `the load is the sum over nodes of their demand a second`() {
        for (second in 0..5) {
            history.hear("n1", second.seconds, second * 500.0)
            history.hear("n2", second.seconds, second * 250.0)
        }

        assertEquals(0.75, load(5.seconds)?.busyEngines)
    }

    @Test
    fun `a lost report changes nothing, because the next one covers its time`() {
        listOf(0, 1, 4, 5).forEach { history.hear("n1", it.seconds, it * 500.0) }

        assertEquals(0.5, load(5.seconds)?.busyEngines)
    }

    @Test
    fun `a restarted node begins anew, and a late report of before is ignored`() {
        history.hear("n1", 0.seconds, 90_000.0)
        history.hear("n1", 1.seconds, 90_500.0)
        history.hear("n1", 0.seconds, 0.0, incarnation = "2")
        history.hear("n1", 1.seconds, 300.0, incarnation = "2")

        assertEquals(0.3, load(2.seconds)?.busyEngines)
    }

    @Test
    fun `a silent node no longer counts`() {
        listOf(0, 1).forEach { history.hear("n1", it.seconds, it * 500.0) }

        assertEquals(null, load(7.seconds))
    }

    private fun LoadHistory.hear(node: String, uptime: Duration, millis: Double, incarnation: String = "1") = record(
        NodeDemand(NodeId(node), Incarnation(incarnation), domain, uptime, listOf(ServiceDemand(service, millis))),
        Moment.ZERO + uptime,
    )

    private fun load(at: Duration) = history.load(service, Moment.ZERO + at)[domain]
}
