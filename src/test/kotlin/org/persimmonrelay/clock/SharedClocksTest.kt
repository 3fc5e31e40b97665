package org.persimmonrelay.clock

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class SharedClocksTest {
    private class HostClock : Clock {
        var monotonic = Moment.ZERO
        var wall = 1_000_000L

        override fun now() = monotonic

        override fun wallMillis() = wall

        fun advance(millis: Long) {
            monotonic += millis.milliseconds
            wall += millis
        }
    }

    private val host = HostClock()

    @Test
    fun `time during which the host is suspended is counted`() {
        val clock = SuspensionAwareClock(host)
        val before = clock.now()
        host.wall += 4_000

        assertEquals(4.seconds, clock.now() - before)
    }

    @Test
    fun `setting the system time back does not move the monotonic clock back`() {
        val clock = SuspensionAwareClock(host)
        val before = clock.now()
        host.wall -= 2_400
        host.advance(100)

        assertEquals(100.milliseconds, clock.now() - before)
    }

    @Test
    fun `a change of system time does not affect the shared wall clock`() {
        val clock = SharedWallClock(host)
        clock.recordStoreTime(storeMillis = 50_000, sentAt = host.now())
        clock.setAgreedOffset(clock.proposedOffset()!!)
        host.wall += 2_400
        host.advance(500)

        assertEquals(1_000_500, clock.wallMillis())
    }

    @Test
    fun `readings of the store clock from slow calls are ignored`() {
        val clock = SharedWallClock(host)
        val sentAt = host.now()
        host.advance(900)
        clock.recordStoreTime(storeMillis = 50_000, sentAt = sentAt)

        assertTrue(clock.proposedOffset() == null)
    }
}
