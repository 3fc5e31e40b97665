package org.persimmonrelay.backend

import org.persimmonrelay.backend.BackendServers.ENGINES
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class DemandMeterTest {
    private val meter = DemandMeter()

    @Test
    fun `refused requests count as demand like the others`() {
        meter.arrived(ENGINES, 10_000, 80.milliseconds, isRefused = false)
        meter.arrived(ENGINES, 10_000, 80.milliseconds, isRefused = true)

        val demand = meter.totals().single()

        assertEquals(160.0, demand.slotMillis)
        assertEquals(20_000 * meter.speed(ENGINES).perToken, demand.prefillMillis, 0.001)
        assertEquals(listOf(2L, 1L), listOf(demand.requests, demand.refused))
    }

    @Test
    fun `the speed of an engine is learned although most requests wait for others`() {
        val speed = PrefillSpeed()

        repeat(1_000) { speed.update(10_000, if (it % 2 == 0) 150.milliseconds else (150 + it).milliseconds) }

        assertTrue(speed.perToken in 0.013..0.017, "${speed.perToken} ms a token; 0.015 without wait")
    }

    @Test
    fun `short prompts tell nothing about the speed`() {
        val speed = PrefillSpeed()
        val before = speed.perToken

        repeat(100) { speed.update(100, 30.milliseconds) }

        assertEquals(before, speed.perToken)
    }
}
