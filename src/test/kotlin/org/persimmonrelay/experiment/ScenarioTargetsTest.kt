package org.persimmonrelay.experiment

import kotlin.test.Test
import kotlin.test.assertTrue

/** Checks the scenarios' targets with seeds other than those of the measurement rounds. */
class ScenarioTargetsTest {
    @Test
    fun `mix-shift meets its targets with seed 11`() = assertTargetsMet(Scenario.MIX_SHIFT, 11)

    @Test
    fun `mix-shift meets its targets with seed 12`() = assertTargetsMet(Scenario.MIX_SHIFT, 12)

    @Test
    fun `flood meets its targets with seed 11`() = assertTargetsMet(Scenario.FLOOD, 11)

    @Test
    fun `flood meets its targets with seed 12`() = assertTargetsMet(Scenario.FLOOD, 12)

    @Test
    fun `overload meets its targets with seed 11`() = assertTargetsMet(Scenario.OVERLOAD, 11)

    @Test
    fun `crash meets its targets with seed 11`() = assertTargetsMet(Scenario.CRASH, 11)

    @Test
    fun `domain-loss meets its targets with seed 11`() = assertTargetsMet(Scenario.DOMAIN_LOSS, 11)

    @Test
    fun `domain-loss meets its targets with seed 12`() = assertTargetsMet(Scenario.DOMAIN_LOSS, 12)

    @Test
    fun `drift meets its targets with seed 11`() = assertTargetsMet(Scenario.DRIFT, 11)

    @Test
    fun `drift meets its targets with seed 12`() = assertTargetsMet(Scenario.DRIFT, 12)

    @Test
    fun `stale meets its targets with seed 11`() = assertTargetsMet(Scenario.STALE, 11)

    @Test
    fun `region-cut meets its targets with seed 11`() = assertTargetsMet(Scenario.REGION_CUT, 11)

    private fun assertTargetsMet(scenario: Scenario, seed: Long) {
        val report = ScenarioExperiment().run(scenario, seed)

        assertTrue(report.met, report.targets.filterNot { it.met }.toString())
    }
}
