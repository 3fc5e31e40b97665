package org.persimmonrelay.backend

import org.persimmonrelay.backend.BackendServers.ENGINES
import org.persimmonrelay.backend.BackendServers.PLACE
import org.persimmonrelay.backend.BackendServers.server
import org.persimmonrelay.identity.NodeId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertSame
import kotlin.test.assertTrue

/** A service with hundreds of servers: each node uses a few of them first, so that its cost stays bounded. */
class NearbyServersTest {
    private val few = List(32) { server("s$it", domain = if (it % 2 == 0) "puget-a" else "inland-a") }

    @Test
    fun `all servers of a small service are preferred`() {
        val candidates = candidates(few)

        assertEquals(few, candidates.preferred)
        assertTrue(!candidates.canWiden)
    }

    @Test
    fun `of a large service the servers in the region are preferred, of both stages`() {
        val candidates = candidates(large(region = 10, elsewhere = 40))

        assertTrue(candidates.preferred.all { it.domain == PLACE.domain })
        assertEquals(setOf(EngineStage.PREFILL, EngineStage.DECODE), candidates.preferred.map { it.stage }.toSet())
        assertTrue(candidates.canWiden)
    }

    @Test
    fun `a region with too few servers is filled up from the others`() {
        val preferred = candidates(large(region = 2, elsewhere = 40)).preferred

        assertEquals(2, preferred.count { it.domain == PLACE.domain })
        assertEquals(8, preferred.size)
    }

    @Test
    fun `each of many nodes prefers a bounded number of servers and each server is preferred by about as many nodes`() {
        val view = BackendView(large(region = 400, elsewhere = 0))

        val preferred = List(300) { NearbyServers(NodeId("node-$it"), PLACE).of(view, ENGINES).preferred }

        assertTrue(preferred.all { it.size == 48 })
        val nodes = preferred.flatten().groupingBy { it.instance }.eachCount()
        assertEquals(400, nodes.size)
        assertTrue(nodes.values.all { it in 10..70 })
    }

    @Test
    fun `the selection is kept until the view changes`() {
        val nearby = NearbyServers(NodeId("n"), PLACE)
        val view = BackendView(few)

        assertSame(nearby.of(view, ENGINES), nearby.of(view, ENGINES))
        assertEquals(3, nearby.of(BackendView(few.take(3)), ENGINES).all.size)
    }

    private fun candidates(servers: List<BackendServer>) =
        NearbyServers(NodeId("n"), PLACE).of(BackendView(servers), ENGINES)

    private fun large(region: Int, elsewhere: Int) = List(region) { server("near$it", stage(it), domain = "puget-a") } +
        List(elsewhere) { server("far$it", stage(it), domain = "inland-a") }

    private fun stage(index: Int) = if (index % 2 == 0) EngineStage.PREFILL else EngineStage.DECODE
}
