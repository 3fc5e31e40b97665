package org.persimmonrelay.experiment.laws

import kotlin.test.Test
import kotlin.test.assertTrue

class OrderProgressTest {
    @Test
    fun `orders to the platform are executed under faults`() {
        val executed = (1L..SCHEDULES).map { seed -> PlatformOrderSchedule(seed).apply { runOurs() }.executed }

        assertMostExecuteOrders(executed)
    }

    @Test
    fun `orders to engines are executed under faults with and without fencing checks`() {
        listOf(true, false).forEach { checked ->
            assertMostExecuteOrders(
                (1L..SCHEDULES).map {
                    EngineOrderSchedule(it, checked).apply { runOurs() }.executed
                },
            )
        }
    }

    /**
     * Up to one schedule in ten may execute no order, because a store outage or the missing proof that the previous
     * holder stopped lasts for the whole schedule.
     */
    private fun assertMostExecuteOrders(executed: List<Int>) {
        assertTrue(executed.count { it > 0 } >= SCHEDULES * 9 / 10, "orders executed in each schedule: $executed")
    }

    private companion object {
        const val SCHEDULES = 100L
    }
}
