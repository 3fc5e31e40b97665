package org.persimmonrelay.forward

import org.persimmonrelay.backend.ResponseLateness
import org.persimmonrelay.clock.Moment
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against an overload that attempts make worse (issue 30): requests at engines that were slow but sound were
 * given up after a fixed time, and waited again at the end of another queue.
 */
class AttemptTimeoutsTest {
    private val timeouts = AttemptTimeouts(ForwardSettings())
    private val lateness = ResponseLateness()

    @Test
    fun `while most responses are late, a request waits as long as the others`() {
        repeat(20) { lateness.record(1_200.milliseconds, at(it)) }

        assertTrue(timeout(at(20)) >= 170.milliseconds + 1_200.milliseconds * 1.5, "${timeout(at(20))}")
    }

    @Test
    fun `attempts that were given up count as late, so that the next ones wait longer`() {
        repeat(20) { lateness.record(timeout(at(it)) - EXPECTED, at(it)) }

        assertTrue(timeout(at(20)) >= 2.seconds, "${timeout(at(20))}")
    }

    @Test
    fun `a few servers that do not respond are given up as soon as before`() {
        repeat(20) { lateness.record(if (it % 5 == 0) 900.milliseconds else 5.milliseconds, at(it)) }

        assertTrue(timeout(at(20)) <= 1.seconds, "${timeout(at(20))}")
    }

    @Test
    fun `the time for another attempt is kept`() {
        repeat(20) { lateness.record(60.seconds, at(it)) }

        assertEquals(3_300.milliseconds, timeout(at(20)))
    }

    @Test
    fun `an overload that has passed is forgotten`() {
        repeat(20) { lateness.record(1_200.milliseconds, at(it)) }

        assertEquals(Duration.ZERO, lateness.usual(at(20) + 6.seconds))
    }

    private fun timeout(now: Moment) = timeouts.timeout(EXPECTED, 600.milliseconds, lateness.usual(now), 6.seconds)

    private fun at(sample: Int) = Moment.ZERO + 100.milliseconds * sample

    private companion object {
        val EXPECTED = 170.milliseconds
    }
}
