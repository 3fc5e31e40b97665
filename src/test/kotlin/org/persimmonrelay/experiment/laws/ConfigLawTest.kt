package org.persimmonrelay.experiment.laws

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ConfigLawTest {
    @Test
    fun `the real service holds in all schedules, the naive version fails in some`() {
        val result = ConfigLaw.run(schedules = SCHEDULES, seed = SEED)

        assertTrue(result.naiveViolations > 0, "$result")
        assertEquals(0, result.violations, "$result: ${result.firstFailingSeed?.let(ConfigLaw::explain)}")
        println(result)
    }

    private companion object {
        const val SCHEDULES = 1_000
        const val SEED = 41_000L
    }
}
