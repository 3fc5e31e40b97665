package org.persimmonrelay.timeline

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class HybridClockTest {
    @Property(tries = 500, seed = "41")
    fun `an effect always has a greater timestamp than its cause, even if wall clocks disagree`(@ForAll seed: Long) {
        val clocks = List(3) { HybridClock() }
        var previous = HybridTimestamp(0, 0)
        val random = Random(seed)
        repeat(40) { hop ->
            val clock = clocks.random(random)
            val wall = 1_000_000L + hop + random.nextInt(-5_000, 5_000)
            clock.observe(previous, wall)
            val next = clock.tick(wall)

            assertTrue(next > previous)
            assertEquals(next, HybridTimestamp.parse(next.encode()))
            previous = next
        }
    }

    @Test
    fun `a timestamp far ahead of the local wall clock is ignored`() {
        val clock = HybridClock()
        clock.observe(HybridTimestamp(10_000_000, 0), wallMillis = 1_000)

        assertEquals(HybridTimestamp(1_000, 0), clock.tick(1_000))
    }

    @Test
    fun `invalid text is not parsed`() {
        assertEquals(null, HybridTimestamp.parse("?"))
        assertEquals(null, HybridTimestamp.parse("12"))
    }
}
