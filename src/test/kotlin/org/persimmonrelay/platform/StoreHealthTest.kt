package org.persimmonrelay.platform

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.timeline.EventSink
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StoreHealthTest {
    private val recoveries = ArrayList<Moment>()
    private val health = StoreHealth(EventSink.NONE) { recoveries += it }
    private val outageStart = Moment.ZERO + 10.seconds

    @Test
    fun `a short outage expires no entries`() {
        health.recordFailure("reset", outageStart)

        assertFalse(health.entriesMayHaveExpired(outageStart + 900.milliseconds))
        health.recordSuccess(outageStart + 900.milliseconds)
        assertEquals(emptyList(), recoveries)
    }

    @Test
    fun `entries may have expired after an outage of several heartbeats`() {
        health.recordFailure("silent", outageStart)

        assertTrue(health.entriesMayHaveExpired(outageStart + 3.seconds))
        health.recordSuccess(outageStart + 4.seconds)
        assertFalse(health.entriesMayHaveExpired(outageStart + 4.seconds))
        assertEquals(listOf(outageStart + 4.seconds), recoveries)
    }
}
