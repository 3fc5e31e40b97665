package org.persimmonrelay.scale

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.Region
import org.persimmonrelay.route.EngineSpec
import org.persimmonrelay.route.Scaling
import org.persimmonrelay.route.Service
import org.persimmonrelay.route.ServiceId
import kotlin.test.Test
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a number of servers that does not follow the load and the deployment (issue 30): too few for a large
 * fleet, whose callers were served too little, and idle ones in a small fleet.
 */
class FleetSizeTest {
    @Test
    fun `the engines that are ordered are enough for the load of 3, 100 and 300 nodes, and not many more`() {
        for ((nodes, domains) in listOf(3 to 3, 100 to 6, 300 to 12)) {
            val busyEngines = nodes * BUSY_ENGINES_PER_NODE
            val needed = busyEngines / PREFILL_SHARE

            val ordered = ordered(domains, present = 1, busyEngines)

            assertTrue(ordered >= needed * 1.25, "$nodes nodes need $needed engines that are never idle, got $ordered")
            assertTrue(ordered <= needed * 3 + domains, "$nodes nodes need $needed engines, got $ordered")
        }
    }

    @Test
    fun `before the load is known a deployment keeps as many engines as it came with`() {
        for ((domains, present) in listOf(3 to 2, 6 to 10, 12 to 25)) {
            val ordered = ordered(domains, present, busyEngines = 0.0)

            assertTrue(ordered >= domains * present, "$domains domains with $present engines each, ordered $ordered")
            assertTrue(ordered <= domains * present * 2 + domains, "$domains domains with $present each, got $ordered")
        }
    }

    /** Engines that are ordered in [domains] failure domains with [present] each, for a load on [busyEngines]. */
    private fun ordered(domains: Int, present: Int, busyEngines: Double): Int {
        val names = List(domains) { FailureDomain("domain-$it") }
        val service = Service(
            id = ServiceId("llm"),
            maxConnections = 100,
            engine = EngineSpec(slots = 64, kvCapacityTokens = 480_000),
            scaling = Scaling(1, 200, 4.seconds, spotPrice = 0.15, prices = names.associateWith { 1.0 }),
        )
        val regions = names.associateWith { Region("region-${it.value.substringAfter('-').toInt() % REGIONS}") }
        val fleet = ServiceFleet(names.associateWith { DomainServerCounts(present, spot = 0) }, PREFILL_SHARE)
        val load = names.associateWith { ServiceLoad(busyEngines / domains) }
        val targets = ServerTargets(regions, isFirst = true)
        targets.update(service, fleet, load, Moment.ZERO)
        val now = Moment.ZERO + 10.seconds
        val wanted = assertNotNull(targets.update(service, fleet, load, now))
        return ScalePlanner(regions).plan(service, fleet.counts, wanted, now).sumOf { it.servers }
    }

    private companion object {
        const val BUSY_ENGINES_PER_NODE = 0.25
        const val PREFILL_SHARE = 0.35
        const val REGIONS = 3
    }
}
