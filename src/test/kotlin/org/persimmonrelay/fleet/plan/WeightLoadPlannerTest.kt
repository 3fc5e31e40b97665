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
    fun `the model with the most work per replica is loaded first, after models without a replica`() {
        val servers = listOf(server(0, setOf("busy")), server(1), server(2), server(3))
        val demands = listOf(ModelDemand("busy", 3.0, waiting = 300.0), ModelDemand("missing", 0.1))

        val loads = planner.plan(demands, servers, 2, Moment.ZERO)

        assertEquals(listOf("missing", "busy"), loads.map { it.model })
    }

    @Property(seed = "61", tries = 50)
    fun `39 models are all loaded, no faster than the weight store allows`(
        @ForAll @IntRange(min = 1, max = 12) perMinute: Int,
    ) {
        val limited = WeightLoadPlanner()
        val demands = List(39) { ModelDemand("m$it", 0.1 + it % 5) }
        val servers = MutableList(120) { server(it) }
        var loads = 0
        for (second in 0..6_000 step 10) {
            val now = limited.plan(demands, servers, perMinute, Moment.ZERO + second.seconds)
            now.forEach { load ->
                val at = servers.indexOfFirst { it.server == load.server }
                servers[at] = servers[at].copy(models = servers[at].models - setOfNotNull(load.evict) + load.model)
                assertTrue(servers[at].models.size <= servers[at].slots)
            }
            loads += now.size
            assertTrue(loads <= perMinute * (1 + second / 60.0) + 1e-6)
        }
        demands.forEach { demand -> assertTrue(servers.any { demand.model in it.models }) }
    }

    private fun server(index: Int, models: Set<String> = emptySet()) =
        ModelServer(ServerId("s$index"), FailureDomain("d${index % 3}"), models, slots = 2)
}
