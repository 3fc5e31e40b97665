package org.persimmonrelay.fleet.plan

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.DoubleRange
import net.jqwik.api.constraints.IntRange
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.platform.PriceClass
import kotlin.math.PI
import kotlin.math.cos
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class FleetPlannerTest {
    private val settings = FleetSizeSettings()
    private val domains = List(3) { FailureDomain("d$it") }

    @Property(seed = "51", tries = 300)
    fun `a fleet serves its load, also after the loss of a domain's cheap servers`(
        @ForAll @DoubleRange(min = 0.0, max = 500.0) load: Double,
        @ForAll @IntRange(min = 0, max = 3) cheapDomains: Int,
    ) {
        val target = FleetOptimizer(settings).cheapest(load, 3, cheapDomains)

        assertTrue(target.servers * settings.busyShare >= load - 1e-9)
        assertTrue(target.cheap <= target.servers * settings.maxCheapShare)
        assertTrue(target.cheap == 0 || (target.servers - target.cheapPerDomain) * settings.carryShare >= load - 1e-9)
        assertTrue(cheapDomains > 0 || target.cheap == 0)
    }

    @Property(seed = "52", tries = 100)
    fun `a plan starts enough servers, and no cheap ones where they were declined`(
        @ForAll @DoubleRange(min = 1.0, max = 100.0) load: Double,
    ) {
        val planner = FleetPlanner(settings, domains)
        domains.forEach { planner.cheapDeclined(it, Moment.ZERO) }

        val starts = planner.plan(emptyList(), load, Moment.ZERO + 1.seconds).filterIsInstance<FleetOrder.Start>()

        assertTrue(starts.size * settings.busyShare >= load - 1e-9)
        assertTrue(starts.all { it.price == PriceClass.ORDINARY })
    }

    @Test
    fun `idle servers are stopped down to the minimum`() {
        val planner = FleetPlanner(settings, domains)
        repeat(10) { planner.observe(0.0) }
        val servers = List(9) { PoolServer(ServerId("s$it"), domains[it % 3], PriceClass.ORDINARY) }

        val orders = planner.plan(servers, 0.0, Moment.ZERO)

        assertEquals(servers.size - settings.minServers, orders.filterIsInstance<FleetOrder.Stop>().size)
    }

    @Test
    fun `a daily drift of the peak by twenty minutes is estimated`() {
        val forecast = PeakForecast()
        for (day in 0 until 5) {
            repeat(288) { bin -> forecast.observe(10 + 8 * cos(2 * PI * (bin - 216 - 4 * day) / 288)) }
        }

        assertEquals(20 * 60.0, forecast.driftSeconds, PeakForecast.BIN_SECONDS)
    }
}
