package org.persimmonrelay.fleet.plan

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.ServerId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class WeightLoadPlannerTest {
    private val planner = WeightLoadPlanner()

    @Test
    fun `the model with most waiting work per replica is loaded first, one that nobody holds before all`() {
        val hosts = listOf(host(0, setOf("busy")), host(1), host(2), host(3))
        val needs = listOf(ModelNeed("busy", 3.0, waiting = 300.0), ModelNeed("missing", 0.1))

        val loads = planner.plan(needs, hosts, 2, Moment.ZERO)

        assertEquals(listOf("missing", "busy"), loads.map { it.model })
    }

    @Property(seed = "61", tries = 50)
    fun `39 models all get a place, no faster than the weight store allows`(
        @ForAll @IntRange(min = 1, max = 12) perMinute: Int,
    ) {
        val pacing = WeightLoadPlanner()
        val needs = List(39) { ModelNeed("m$it", 0.1 + it % 5) }
        val hosts = MutableList(120) { host(it) }
        var loads = 0
        for (second in 0..6_000 step 10) {
            val now = pacing.plan(needs, hosts, perMinute, Moment.ZERO + second.seconds)
            now.forEach { load ->
                val at = hosts.indexOfFirst { it.server == load.server }
                hosts[at] = hosts[at].copy(models = hosts[at].models - setOfNotNull(load.evict) + load.model)
                assertTrue(hosts[at].models.size <= hosts[at].slots)
            }
            loads += now.size
            assertTrue(loads <= perMinute * (1 + second / 60.0) + 1e-6)
        }
        needs.forEach { need -> assertTrue(hosts.any { need.model in it.models }) }
    }

    private fun host(index: Int, models: Set<String> = emptySet()) =
        ModelHost(ServerId("s$index"), FailureDomain("d${index % 3}"), models, slots = 2)
}
