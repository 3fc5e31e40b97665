package org.persimmonrelay.experiment.laws

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class LawExperimentTest {
    @TestFactory
    fun `each law holds in all schedules, and its naive version violates it in some of the same schedules`() =
        LawExperiment.laws.map { law ->
            DynamicTest.dynamicTest(law.name) {
                val result = law.run(SCHEDULES_EACH, SEED)

                println(result)
                assertEquals(0, result.violations, "first failing seed: ${result.firstFailingSeed}")
                assertTrue(result.naiveViolations > 0, "the schedules must be hard enough to break the naive version")
            }
        }

    private companion object {
        const val SCHEDULES_EACH = 3_000
        const val SEED = 20_000L
    }
}
