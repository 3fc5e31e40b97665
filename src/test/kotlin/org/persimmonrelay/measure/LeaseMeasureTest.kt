package org.persimmonrelay.measure

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class LeaseMeasureTest {
    @Test
    fun `steady table load of leases on seven nodes stays within its limits`() {
        val cost = LeaseMeasure.cost(nodes = 7, duties = 5)

        assertTrue(cost.readsPerSecond < 25, "$cost")
        assertTrue(cost.writesPerSecond < 10, "$cost")
    }

    @Test
    fun `a crashed lease holder is replaced within duration, tolerance and one check period`() {
        val figures = LeaseMeasure.comparison(schedules = 40, seed = 1)

        val ours = figures.filter { it.mechanism == "watched silence" }
        val killed = ours.single { it.fault == "KILL" }
        assertTrue(killed.takeoverLongest!! <= 10.0 + 2.0 + 2.0, "$killed")
        assertEquals(0, ours.sumOf { it.overlaps })
    }

    @Test
    fun `all idempotency claims are executed at every rate`() {
        val costs = IdempotencyMeasure.cost()

        assertTrue(costs.all { it.notRun == 0 }, "$costs")
    }
}
