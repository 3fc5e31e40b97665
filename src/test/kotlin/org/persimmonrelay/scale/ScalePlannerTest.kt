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
    private val dear = FailureDomain("inland-a")
    private val planner = ScalePlanner()
    private val service = service(spotPrice = 0.18)

    @Test
    fun `cheap servers are ordered before ordinary ones are given up`() {
        val orders = planner.plan(service, mapOf(domain to DomainServerCounts(ordinary = 3, spot = 0)), Moment.ZERO)

        assertEquals(3, orders.single { !it.isSpot }.servers)
        assertEquals(3, orders.single { it.isSpot }.servers)
    }

    @Test
    fun `one ordinary server stays beside the cheap ones in the domain with the lowest price only`() {
        val census = listOf(domain, dear).associateWith { DomainServerCounts(ordinary = 3, spot = 3) }
        val ordinary = planner.plan(service, census, Moment.ZERO).filter { !it.isSpot }

        assertEquals(mapOf(domain to 1, dear to 0), ordinary.associate { it.domain to it.servers })
    }

    @Test
    fun `a domain that loses its cheap servers gets an ordinary one at once`() {
        val census = mapOf(domain to DomainServerCounts(1, 5), dear to DomainServerCounts(0, 0))
        val orders = planner.plan(service, census, Moment.ZERO)

        assertEquals(1, orders.single { it.domain == dear && !it.isSpot }.servers)
    }

    @Test
    fun `ordinary servers stand in while no cheap ones are to be had`() {
        val gone = mapOf(domain to DomainServerCounts(ordinary = 1, spot = 0))
        val cheap = planner.plan(service, gone, Moment.ZERO).single { it.isSpot }
        planner.recordAnswer(cheap, ScaleAnswer.NONE_AVAILABLE, Moment.ZERO)

        val orders = planner.plan(service, gone, Moment.ZERO)

        assertEquals(listOf(3), orders.map { it.servers })
        assertTrue(planner.plan(service, gone, Moment.ZERO + 3.seconds).any { it.isSpot })
    }

    @Test
    fun `an accepted order is not repeated at once`() {
        val census = mapOf(domain to DomainServerCounts(1, 5))
        planner.plan(service, census, Moment.ZERO).forEach {
            planner.recordAnswer(it, ScaleAnswer.ACCEPTED, Moment.ZERO)
        }

        assertEquals(emptyList(), planner.plan(service, census, Moment.ZERO + 1.seconds))
    }

    @Test
    fun `an unanswered order is sent again`() {
        val census = mapOf(domain to DomainServerCounts(1, 5))
        planner.plan(service, census, Moment.ZERO).forEach { planner.recordAnswer(it, null, Moment.ZERO) }

        assertEquals(2, planner.plan(service, census, Moment.ZERO + 2.seconds).size)
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
                dear to 1.25,
            ),
        ),
    )
}
