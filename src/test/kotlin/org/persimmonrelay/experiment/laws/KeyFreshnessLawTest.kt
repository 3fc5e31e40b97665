package org.persimmonrelay.experiment.laws

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class KeyFreshnessLawTest {
    @Test
    fun `the real service holds in all schedules, the naive version fails in some`() {
        val result = KeyFreshnessLaw.run(schedules = SCHEDULES, seed = SEED)

        assertTrue(result.naiveViolations > 0, "$result")
        assertEquals(0, result.violations, "$result: ${result.firstFailingSeed?.let(KeyFreshnessLaw::explain)}")
        println(result)
    }

    private companion object {
        const val SCHEDULES = 1_000
        const val SEED = 42_000L
    }
}
