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
    private val regained = ArrayList<Moment>()
    private val health = StoreHealth(EventSink.NONE) { regained += it }
    private val lost = Moment.ZERO + 10.seconds

    @Test
    fun `a call that fails now and then lets no entry lapse`() {
        health.recordFailure("reset", lost)

        assertFalse(health.entriesMayHaveExpired(lost + 900.milliseconds))
        health.recordSuccess(lost + 900.milliseconds)
        assertEquals(emptyList(), regained)
    }

    @Test
    fun `entries may lapse once the store has been away for some heartbeats`() {
        health.recordFailure("silent", lost)

        assertTrue(health.entriesMayHaveExpired(lost + 3.seconds))
        health.recordSuccess(lost + 4.seconds)
        assertFalse(health.entriesMayHaveExpired(lost + 4.seconds))
        assertEquals(listOf(lost + 4.seconds), regained)
    }
}
