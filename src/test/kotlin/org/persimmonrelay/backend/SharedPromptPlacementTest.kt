package org.persimmonrelay.backend

import org.persimmonrelay.backend.BackendServers.ENGINES
import org.persimmonrelay.backend.BackendServers.PLACE
import org.persimmonrelay.backend.BackendServers.SHAPE
import org.persimmonrelay.backend.BackendServers.server
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.route.EngineSpec
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The load of shared histories: many requests begin with one of a few hundred long parts, which the engines of all
 * nodes together have read already.
 */
class SharedPromptPlacementTest {
    private val chooser = ServerChooser(PLACE)
    private val now = Moment.ZERO
    private val shape = SHAPE.copy(kvBytesPerToken = 131_072, linkMbps = 1_600_000.0)
    private val shared = PromptPart("history", 13_300)

    @Test
    fun `a request goes where other nodes had its shared part read`() {
        val readers = List(4) { server("p$it", EngineStage.PREFILL) }
        reports(readers[2], shared)
        readers.filter { it != readers[2] }.forEach { reports(it) }

        val split = assertIs<Placement.Split>(choose(readers + server("d0")))

        assertEquals(readers[2], split.prefill.server)
        assertEquals(OWN_TOKENS, split.prefill.prefillTokens)
        assertNull(split.prefill.fetch)
    }

    @Test
    fun `the shared part is copied from a busy engine, not read again`() {
        val readers = List(2) { server("p$it", EngineStage.PREFILL) }
        val maker = server("d0")
        readers.forEach { reports(it) }
        reports(readers[0], shared)
        listOf(readers[0], maker).forEach { busy ->
            repeat(8) { chooser.sent(Placement.Chosen(busy, 1.seconds, 17_000), other(it), shape, now) }
        }

        val prefill = assertIs<Placement.Split>(choose(readers + maker)).prefill

        assertEquals(readers[1], prefill.server)
        assertEquals(OWN_TOKENS, prefill.prefillTokens)
        assertEquals(readers[0], assertNotNull(prefill.fetch).from)
        assertEquals(shared.tokens, prefill.fetch.tokens)
    }

    @Test
    fun `a short rest is read where its tokens are made while no stream there waits longer for it`() {
        val maker = server("d0")
        val reader = server("p0", EngineStage.PREFILL)
        reports(reader, shared)
        reports(maker)
        chooser.sent(Placement.Chosen(reader, 1.seconds, 6_000), other(1), shape, now)

        val chosen = assertIs<Placement.Chosen>(choose(listOf(reader, maker)))

        assertEquals(maker, chosen.server)
        assertEquals(reader, assertNotNull(chosen.fetch).from)
    }

    @Test
    fun `a second prompt at a server that makes tokens would make its streams late, so a reader gets it`() {
        val maker = server("d0")
        val reader = server("p0", EngineStage.PREFILL)
        listOf(reader, maker).forEach { reports(it, shared) }
        chooser.sent(Placement.Chosen(maker, 1.seconds, 5_000), other(1), shape, now)

        assertEquals(reader, assertIs<Placement.Split>(choose(listOf(reader, maker))).prefill.server)
    }

    @Test
    fun `a copy over a slow link between regions is left alone where reading is as quick`() {
        val slow = shape.copy(linkMbps = 50_000.0)
        val far = server("far", domain = "inland-a")
        val near = server("near")
        reports(far, shared)
        reports(near)

        val chosen = assertIs<Placement.Chosen>(choose(listOf(near), slow, listOf(far)))

        assertNull(chosen.fetch)
        assertTrue(chosen.prefillTokens > shared.tokens)
    }

    private fun reports(engine: BackendServer, vararg parts: PromptPart) {
        val kept = parts.map { CachedPromptPart(it.id, it.tokens) }
        chooser.cacheChanged(engine, shape, PromptCacheDelta("e", 1, isIncomplete = false, kept), now)
    }

    private fun choose(
        servers: List<BackendServer>,
        engine: EngineSpec = shape,
        busy: List<BackendServer> = emptyList(),
    ): Placement {
        busy.forEach {
            repeat(40) { n -> chooser.sent(Placement.Chosen(it, 1.seconds, 17_000), other(n), engine, now) }
        }
        val query = PlacementQuery(request(), 4.seconds, emptySet(), now, pauseTarget = 250.milliseconds)
        return chooser.choose(query, servers + busy, engine)
    }

    private fun request() =
        RequestProfile(ENGINES, listOf(shared, PromptPart("own", OWN_TOKENS)), shared.tokens + OWN_TOKENS, 13)

    private fun other(number: Int) = RequestProfile(ENGINES, listOf(PromptPart("other-$number", 17_000)), 17_000, 13)

    private companion object {
        const val OWN_TOKENS = 3_720
    }
}
