package org.persimmonrelay.http

import org.persimmonrelay.clock.Moment
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RequestTransitTest {
    // Guards against a part of an early response that passes as whole, as the reset comes later (MIXED).
    @Test
    fun `a reset is awaited for two round trips while bytes of the request may be on the way`() {
        listOf(1, 16, 40, 100).map { it.milliseconds }.forEach { roundTrip ->
            val transit = transit(bodyBytes = 1_000_000, responseAfter = roundTrip)

            assertEquals(roundTrip * 2, transit.wait(endAfter = roundTrip))
            assertEquals(roundTrip * 2, transit.wait(endAfter = roundTrip + 500.milliseconds))
        }
    }

    // Guards against responses without a length that are late though their servers have the whole request.
    @Test
    fun `nothing is awaited when the whole request has long arrived`() {
        assertTrue(transit(bodyBytes = 0, responseAfter = 16.milliseconds).wait(endAfter = 16.milliseconds) <= ZERO)
        assertTrue(transit(bodyBytes = 10, responseAfter = 100.milliseconds).wait(endAfter = 100.milliseconds) <= ZERO)
        assertTrue(transit(bodyBytes = 20_000, responseAfter = 100.milliseconds).wait(endAfter = 1.seconds) <= ZERO)
        assertTrue(transit(bodyBytes = 1_000_000, responseAfter = 3.seconds).wait(endAfter = 3.seconds) <= ZERO)
    }

    @Test
    fun `the work of a server does not count as a round trip`() {
        val transit = transit(bodyBytes = 4_000_000, responseAfter = 3.seconds)

        assertEquals(200.milliseconds, transit.wait(endAfter = 3.seconds))
    }

    @Test
    fun `a request that is written after the server's end is awaited from then on`() {
        val transit = RequestTransit(bodyBytes = 1_000_000, startedAt = Moment.ZERO)
            .copy(respondedAt = Moment.ZERO + 16.milliseconds, writtenAt = Moment.ZERO + 2.seconds)

        assertEquals(32.milliseconds, transit.wait(endAfter = 2.seconds))
    }

    private fun transit(bodyBytes: Int, responseAfter: Duration) =
        RequestTransit(bodyBytes, startedAt = Moment.ZERO, respondedAt = Moment.ZERO + responseAfter)

    private fun RequestTransit.wait(endAfter: Duration): Duration {
        val end = Moment.ZERO + endAfter
        return resetDeadline(end) - end
    }

    private companion object {
        val ZERO = Duration.ZERO
    }
}
