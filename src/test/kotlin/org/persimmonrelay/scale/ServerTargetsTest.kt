package org.persimmonrelay.scale

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.Region
import org.persimmonrelay.route.EngineSpec
import org.persimmonrelay.route.Scaling
import org.persimmonrelay.route.Service
import org.persimmonrelay.route.ServiceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class ServerTargetsTest {
    private val domains = listOf("puget-a", "puget-b", "inland-a").map(::FailureDomain)
    private val regions = domains.associateWith { Region(it.value.substringBefore('-')) }
    private val scaling = Scaling(1, 30, 4.seconds, spotPrice = 0.15, prices = domains.associateWith { 1.0 })
    private val service = Service(
        id = ServiceId("llm"),
        maxConnections = 100,
        engine = EngineSpec(slots = 10, kvCapacityTokens = 1),
        scaling = scaling,
    )
    private val own = ServiceFleet(domains.associateWith { DomainServerCounts(4, 0) }, prefillShare = 0.5)
    private val first = ServerTargets(regions, isFirst = true)
    private val later = ServerTargets(regions, isFirst = false)

    // Guards against orders for a deployment whose servers have not all announced themselves yet, spot ones included.
    @Test
    fun `nothing is ordered before each server had time to announce itself`() {
        assertNull(first.targets(Duration.ZERO))
        assertNull(first.targets(4.seconds))
        assertEquals(domains.associateWith { 8 }, first.targets(5.seconds))
    }

    // Guards against paying twice for a deployment whose spot servers are too dear to be ordered.
    @Test
    fun `without cheap spot servers a deployment keeps the servers that it came with`() {
        for (price in listOf(null, 0.6)) {
            val service = service.copy(scaling = scaling.copy(spotPrice = price))
            val targets = ServerTargets(regions, isFirst = true)
            targets.update(service, own, emptyMap(), Moment.ZERO)

            val settled = targets.update(service, own, emptyMap(), Moment.ZERO + 5.seconds)
            assertEquals(domains.associateWith { 4 }, settled)
        }
    }

    @Test
    fun `a later holder of the duty keeps what others have ordered until it knows the load`() {
        assertEquals(domains.associateWith { 4 }, later.targets(Duration.ZERO))
    }

    @Test
    fun `the servers of a region follow the load of its own callers`() {
        val targets = later.targets(1.seconds, "puget-a" to ServiceLoad(busyEngines = 5.0))

        assertEquals(listOf(10, 10, 4), domains.map { targets?.get(it) })
    }

    @Test
    fun `slots count too where prefill is light`() {
        val targets = later.targets(1.seconds, "inland-a" to ServiceLoad(busyEngines = 0.1, usedSlots = 25.0))

        assertEquals(10, targets?.get(domains[2]))
    }

    @Test
    fun `twice the load has twice the servers, half of it half of them`() {
        val counts = listOf(4.0, 8.0, 16.0).map { busy ->
            val targets = ServerTargets(regions, isFirst = false)
            (0..40).forEach { targets.targets(it.seconds, "inland-a" to ServiceLoad(busy / 4)) }
            targets.targets(41.seconds, "inland-a" to ServiceLoad(busy / 4))?.get(domains[2])
        }

        assertEquals(listOf<Int?>(4, 8, 16), counts)
    }

    @Test
    fun `a dip of the load releases no server, a lasting one does`() {
        (0..40).forEach { later.targets(it.seconds, "inland-a" to ServiceLoad(4.0)) }

        assertEquals(16, later.targets(60.seconds, "inland-a" to ServiceLoad(1.0))?.get(domains[2]))
        assertEquals(4, later.targets(80.seconds, "inland-a" to ServiceLoad(1.0))?.get(domains[2]))
    }

    @Test
    fun `servers are not released while no caller has come`() {
        assertEquals(domains.associateWith { 4 }, later.apply { targets(Duration.ZERO) }.targets(600.seconds))
    }

    @Test
    fun `the limits of the service hold`() {
        val targets = later.targets(1.seconds, "inland-a" to ServiceLoad(busyEngines = 1_000.0))

        assertEquals(30, targets?.get(domains[2]))
        assertTrue(targets.orEmpty().values.all { it >= 1 })
    }

    private fun ServerTargets.targets(at: Duration, vararg load: Pair<String, ServiceLoad>) =
        update(service, own, load.associate { FailureDomain(it.first) to it.second }, Moment.ZERO + at)
}
