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
 * Placement of requests with shared histories: many requests begin with one of a few hundred long parts, which some
 * engine already has in its cache because of requests of any node.
 */
class SharedPromptPlacementTest {
    private val chooser = ServerChooser(PLACE)
    private val now = Moment.ZERO
    private val shape = SHAPE.copy(kvBytesPerToken = 131_072, linkMbps = 1_600_000.0)
    private val shared = PromptPart("history", 13_300)

    @Test
    fun `a request goes to the engine that has its shared part cached, whichever node sent it there`() {
        val prefillers = List(4) { server("p$it", EngineStage.PREFILL) }
        reports(prefillers[2], shared)
        prefillers.filter { it != prefillers[2] }.forEach { reports(it) }

        val split = assertIs<Placement.Split>(choose(prefillers + server("d0")))

        assertEquals(prefillers[2], split.prefill.server)
        assertEquals(OWN_TOKENS, split.prefill.prefillTokens)
        assertNull(split.prefill.fetch)
    }

    @Test
    fun `the shared part is copied from a busy engine instead of being prefilled again`() {
        val prefillers = List(2) { server("p$it", EngineStage.PREFILL) }
        val decoder = server("d0")
        prefillers.forEach { reports(it) }
        reports(prefillers[0], shared)
        listOf(prefillers[0], decoder).forEach { busy ->
            repeat(8) { chooser.sent(Placement.Chosen(busy, 1.seconds, 17_000), other(it), shape, now) }
        }

        val prefill = assertIs<Placement.Split>(choose(prefillers + decoder)).prefill

        assertEquals(prefillers[1], prefill.server)
        assertEquals(OWN_TOKENS, prefill.prefillTokens)
        assertEquals(prefillers[0], assertNotNull(prefill.fetch).from)
        assertEquals(shared.tokens, prefill.fetch.tokens)
    }

    @Test
    fun `a short uncached rest is prefilled on the decode server while it delays no stream there`() {
        val decoder = server("d0")
        val prefiller = server("p0", EngineStage.PREFILL)
        reports(prefiller, shared)
        reports(decoder)
        chooser.sent(Placement.Chosen(prefiller, 1.seconds, 6_000), other(1), shape, now)

        val chosen = assertIs<Placement.Chosen>(choose(listOf(prefiller, decoder)))

        assertEquals(decoder, chosen.server)
        assertEquals(prefiller, assertNotNull(chosen.fetch).from)
    }

    @Test
    fun `a second prompt goes to a prefill server when it would delay the streams of the decode server`() {
        val decoder = server("d0")
        val prefiller = server("p0", EngineStage.PREFILL)
        listOf(prefiller, decoder).forEach { reports(it, shared) }
        chooser.sent(Placement.Chosen(decoder, 1.seconds, 5_000), other(1), shape, now)

        assertEquals(prefiller, assertIs<Placement.Split>(choose(listOf(prefiller, decoder))).prefill.server)
    }

    @Test
    fun `the cache is not copied over a slow link between regions when prefill is as fast`() {
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
        val cached = parts.map { CachedPromptPart(it.id, it.tokens) }
        chooser.cacheChanged(engine, shape, PromptCacheDelta("e", 1, isIncomplete = false, cached), now)
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
