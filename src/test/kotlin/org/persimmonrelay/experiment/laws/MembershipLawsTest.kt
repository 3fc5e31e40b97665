package org.persimmonrelay.experiment.laws

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class MembershipLawsTest {
    private val schedules = Integer.getInteger("schedules", 24)

    @Test
    fun `running nodes agree after faults and never declare a running node failed`() = assertLawHolds(MembershipLaw)

    @Test
    fun `all nodes of a region learn of a draining server within the time limit`() = assertLawHolds(LeavingServerLaw)

    private fun assertLawHolds(law: Law) {
        val result = law.run(schedules, seed = 11)

        assertEquals(0, result.violations, "$result")
        assertTrue(result.naiveViolations > schedules / 2, "$result")
    }
}
