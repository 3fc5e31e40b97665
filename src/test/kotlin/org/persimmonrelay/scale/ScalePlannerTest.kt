package org.persimmonrelay.scale

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.Region
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
    private val regions = mapOf(domain to Region("puget"), expensive to Region("inland"))
    private val planner = ScalePlanner(regions)
    private val targets = mapOf(domain to 6, expensive to 6)
    private val service = service(spotPrice = 0.18)

    @Test
    fun `spot servers are ordered before ordinary ones are released`() {
        val orders = planner.plan(
            service,
            mapOf(domain to DomainServerCounts(ordinary = 3, spot = 0)),
            targets,
            Moment.ZERO,
        )

        assertEquals(3, orders.single { !it.isSpot }.servers)
        assertEquals(3, orders.single { it.isSpot }.servers)
    }

    @Test
    fun `only the domain with the lowest price has an ordinary server beside spot ones`() {
        val counts = listOf(domain, expensive).associateWith { DomainServerCounts(ordinary = 3, spot = 3) }
        val ordinary = planner.plan(service, counts, targets, Moment.ZERO).filter { !it.isSpot }

        assertEquals(mapOf(domain to 1, expensive to 0), ordinary.associate { it.domain to it.servers })
    }

    @Test
    fun `a domain that loses its spot servers gets an ordinary one at once`() {
        val counts = mapOf(domain to DomainServerCounts(1, 5), expensive to DomainServerCounts(0, 0))
        val orders = planner.plan(service, counts, targets, Moment.ZERO)

        assertEquals(1, orders.single { it.domain == expensive && !it.isSpot }.servers)
    }

    @Test
    fun `ordinary servers are ordered while no spot ones are available`() {
        val withoutSpot = mapOf(domain to DomainServerCounts(ordinary = 1, spot = 0))
        val spot = planner.plan(service, withoutSpot, targets, Moment.ZERO).single { it.isSpot }
        planner.recordAnswer(spot, ScaleAnswer.NONE_AVAILABLE, Moment.ZERO)

        val orders = planner.plan(service, withoutSpot, targets, Moment.ZERO)

        assertEquals(listOf(3), orders.map { it.servers })
        assertTrue(planner.plan(service, withoutSpot, targets, Moment.ZERO + 3.seconds).any { it.isSpot })
    }

    @Test
    fun `an accepted order is not repeated at once`() {
        val counts = mapOf(domain to DomainServerCounts(1, 5))
        planner.plan(service, counts, targets, Moment.ZERO).forEach {
            planner.recordAnswer(it, ScaleAnswer.ACCEPTED, Moment.ZERO)
        }

        assertEquals(emptyList(), planner.plan(service, counts, targets, Moment.ZERO + 1.seconds))
    }

    @Test
    fun `an unanswered order is sent again`() {
        val counts = mapOf(domain to DomainServerCounts(1, 5))
        planner.plan(service, counts, targets, Moment.ZERO).forEach { planner.recordAnswer(it, null, Moment.ZERO) }

        assertEquals(2, planner.plan(service, counts, targets, Moment.ZERO + 2.seconds).size)
    }

    // Guards against a region that stays short while one of its failure domains has no spot servers to give.
    @Test
    fun `where no spot servers are available the rest of the region gets more of them`() {
        val sibling = FailureDomain("puget-b")
        val planner = ScalePlanner(regions + (sibling to Region("puget")))
        val service = service.copy(
            scaling = service.scaling?.copy(
                max = 30,
                prices = mapOf(
                    domain to 1.0,
                    sibling to 1.2,
                ),
            ),
        )
        val counts = mapOf(domain to DomainServerCounts(1, 0), sibling to DomainServerCounts(0, 6))
        planner.recordAnswer(ScaleOrder(service.id, domain, isSpot = true, 6), ScaleAnswer.NONE_AVAILABLE, Moment.ZERO)

        val orders = planner.plan(service, counts, mapOf(domain to 6, sibling to 6), Moment.ZERO)

        assertEquals(1, orders.single { it.domain == domain && !it.isSpot }.servers)
        assertEquals(11, orders.single { it.domain == sibling && it.isSpot }.servers)
    }

    @Test
    fun `servers that did not start are ordered again`() {
        val counts = mapOf(domain to DomainServerCounts(1, 5))
        planner.plan(service, counts, targets, Moment.ZERO).forEach {
            planner.recordAnswer(it, ScaleAnswer.ACCEPTED, Moment.ZERO)
        }
        val lost = mapOf(domain to DomainServerCounts(1, 0))

        assertEquals(emptyList(), planner.plan(service, lost, targets, Moment.ZERO + 6.seconds).filter { it.isSpot })
        assertEquals(1, planner.plan(service, lost, targets, Moment.ZERO + 7.seconds).count { it.isSpot })
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
