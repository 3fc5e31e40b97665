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

        fun pass(millis: Long) {
            monotonic += millis.milliseconds
            wall += millis
        }
    }

    private val host = HostClock()

    @Test
    fun `time passes while the host is suspended`() {
        val clock = SuspensionAwareClock(host)
        val before = clock.now()
        host.wall += 4_000

        assertEquals(4.seconds, clock.now() - before)
    }

    @Test
    fun `a time of day that is set back does not turn the clock back`() {
        val clock = SuspensionAwareClock(host)
        val before = clock.now()
        host.wall -= 2_400
        host.pass(100)

        assertEquals(100.milliseconds, clock.now() - before)
    }

    @Test
    fun `the shared time of day ignores a set clock`() {
        val clock = SharedWallClock(host)
        clock.recordStoreTime(storeMillis = 50_000, sentAt = host.now())
        clock.setAgreedOffset(clock.proposedOffset()!!)
        host.wall += 2_400
        host.pass(500)

        assertEquals(1_000_500, clock.wallMillis())
    }

    @Test
    fun `readings from slow calls are not used`() {
        val clock = SharedWallClock(host)
        val sentAt = host.now()
        host.pass(900)
        clock.recordStoreTime(storeMillis = 50_000, sentAt = sentAt)

        assertTrue(clock.proposedOffset() == null)
    }
}
