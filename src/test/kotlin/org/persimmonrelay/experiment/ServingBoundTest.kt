package org.persimmonrelay.experiment

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.DoubleRange
import net.jqwik.api.constraints.LongRange
import org.persimmonrelay.engine.EngineProfile
import kotlin.test.assertTrue

class ServingBoundTest {
    private val profile = EngineProfile()

    @Property(seed = "71", tries = 12)
    fun `no policy gives more good responses than the bound`(
        @ForAll @LongRange(min = 1, max = 1_000) seed: Long,
        @ForAll @DoubleRange(min = 0.3, max = 3.0) load: Double,
        @ForAll @DoubleRange(min = 0.1, max = 0.8) share: Double,
    ) {
        val trace = Workloads(profile, seed).planner(45.0, load, { share })
        val bound = ServingBound(profile).maxGoodResponses(trace, trace.deployment.servers)

        Arm.entries.forEach { arm ->
            val result = ServingRun(trace, arm, Conditions(initialPromptShare = share), profile, seed).run()
            assertTrue(result.states.count { it.isGood(trace.deployment) } <= bound)
            assertTrue(result.states.none { it.refusedAfterRun })
        }
    }
}
