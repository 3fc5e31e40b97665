package org.persimmonrelay.scale

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.route.Scaling
import org.persimmonrelay.route.Service
import org.persimmonrelay.route.ServiceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class ScalePlannerTest {
    private val domain = FailureDomain("puget-a")
    private val expensive = FailureDomain("inland-a")
    private val planner = ScalePlanner()
    private val service = service(spotPrice = 0.18)

    @Test
    fun `spot servers are ordered before ordinary ones are released`() {
        val orders = planner.plan(service, mapOf(domain to DomainServerCounts(ordinary = 3, spot = 0)), Moment.ZERO)

        assertEquals(3, orders.single { !it.isSpot }.servers)
        assertEquals(3, orders.single { it.isSpot }.servers)
    }

    @Test
    fun `only the domain with the lowest price has an ordinary server beside spot ones`() {
        val counts = listOf(domain, expensive).associateWith { DomainServerCounts(ordinary = 3, spot = 3) }
        val ordinary = planner.plan(service, counts, Moment.ZERO).filter { !it.isSpot }

        assertEquals(mapOf(domain to 1, expensive to 0), ordinary.associate { it.domain to it.servers })
    }

    @Test
    fun `a domain that loses its spot servers gets an ordinary one at once`() {
        val counts = mapOf(domain to DomainServerCounts(1, 5), expensive to DomainServerCounts(0, 0))
        val orders = planner.plan(service, counts, Moment.ZERO)

        assertEquals(1, orders.single { it.domain == expensive && !it.isSpot }.servers)
    }

    @Test
    fun `ordinary servers are ordered while no spot ones are available`() {
        val withoutSpot = mapOf(domain to DomainServerCounts(ordinary = 1, spot = 0))
        val spot = planner.plan(service, withoutSpot, Moment.ZERO).single { it.isSpot }
        planner.recordAnswer(spot, ScaleAnswer.NONE_AVAILABLE, Moment.ZERO)

        val orders = planner.plan(service, withoutSpot, Moment.ZERO)

        assertEquals(listOf(3), orders.map { it.servers })
        assertTrue(planner.plan(service, withoutSpot, Moment.ZERO + 3.seconds).any { it.isSpot })
    }

    @Test
    fun `an accepted order is not repeated at once`() {
        val counts = mapOf(domain to DomainServerCounts(1, 5))
        planner.plan(service, counts, Moment.ZERO).forEach {
            planner.recordAnswer(it, ScaleAnswer.ACCEPTED, Moment.ZERO)
        }

        assertEquals(emptyList(), planner.plan(service, counts, Moment.ZERO + 1.seconds))
    }

    @Test
    fun `an unanswered order is sent again`() {
        val counts = mapOf(domain to DomainServerCounts(1, 5))
        planner.plan(service, counts, Moment.ZERO).forEach { planner.recordAnswer(it, null, Moment.ZERO) }

        assertEquals(2, planner.plan(service, counts, Moment.ZERO + 2.seconds).size)
    }

    private fun service(spotPrice: Double?) = Service(
        id = ServiceId("planner-llm"),
        maxConnections = 10,
        scaling = Scaling(
            min = 1,
            max = 6,
            startup = 4.seconds,
            spotPrice = spotPrice,
            prices = mapOf(
                domain to 1.0,
                expensive to 1.25,
            ),
        ),
    )
}
