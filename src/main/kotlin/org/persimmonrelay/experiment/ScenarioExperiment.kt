package org.persimmonrelay.experiment

/** Runs scenarios: simulations in virtual time of the production code for routing, roles and fleet size. */
public class ScenarioExperiment {
    /**
     * Runs [scenario] on the trace generated from [seed]. The same seed gives the same results, except in
     * [Scenario.SCALE], which measures real time.
     */
    public fun run(scenario: Scenario, seed: Long): ScenarioReport {
        val serving = ServingScenarios(seed)
        return when (scenario) {
            Scenario.MIX_SHIFT -> serving.mixShift()
            Scenario.STONES -> serving.stones()
            Scenario.FLOOD -> serving.flood()
            Scenario.OVERLOAD -> serving.overload()
            Scenario.CRASH -> serving.crash()
            Scenario.DOMAIN_LOSS -> serving.domainLoss()
            Scenario.STALE -> serving.stale()
            Scenario.REGION_CUT -> serving.regionCut()
            Scenario.NO_CHEAP -> FleetScenarios(seed).noCheap()
            Scenario.DRIFT -> FleetScenarios(seed).drift()
            Scenario.SCALE -> ScaleScenario(seed).run()
        }
    }
}
