package org.persimmonrelay.backend

import org.persimmonrelay.clock.Moment
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class PromptCacheEstimateTest {
    private val cache = PromptCacheEstimate(capacityTokens = 1_000)
    private val prompt = listOf(PromptPart("a", 400), PromptPart("b", 300), PromptPart("own", 100))
    private var now = Moment.ZERO

    @Test
    fun `without reports the prompts sent by this node count, up to the capacity in LRU order`() {
        cache.recordSent(prompt, now)
        cache.recordSent(listOf(PromptPart("c", 500)), now)

        assertEquals(0, cache.cachedTokens(prompt, now))
        assertEquals(500, cache.cachedTokens(listOf(PromptPart("c", 500)), now))
    }

    @Test
    fun `reported parts count even if this node did not send them`() {
        report(CachedPromptPart("a", 400), CachedPromptPart("b", 300))

        assertEquals(700, cache.cachedTokens(prompt, now))
    }

    @Test
    fun `parts after a partly cached one do not count`() {
        report(CachedPromptPart("a", 200), CachedPromptPart("b", 300))

        assertEquals(200, cache.cachedTokens(prompt, now))
    }

    @Test
    fun `a sent part that the report does not list counts as evicted`() {
        cache.recordSent(prompt, now)
        now += 2.seconds
        report(CachedPromptPart("a", 400))

        assertEquals(400, cache.cachedTokens(prompt, now))
    }

    @Test
    fun `a recently sent prompt counts before the engine reports it`() {
        report()
        cache.recordSent(prompt, now)

        assertEquals(800, cache.cachedTokens(prompt, now))
    }

    @Test
    fun `a new epoch after an engine restart clears the reported parts`() {
        report(CachedPromptPart("a", 400))
        cache.applyDelta(PromptCacheDelta("other", 1, isIncomplete = false, listOf(CachedPromptPart("z", 10))), now)

        assertEquals(0, cache.cachedTokens(prompt, now))
    }

    @Test
    fun `a snapshot replaces all reported parts`() {
        report(CachedPromptPart("a", 400), CachedPromptPart("b", 300))
        cache.applySnapshot(PromptCacheSnapshot("e", 9, listOf(CachedPromptPart("a", 400))), now)

        assertEquals(400, cache.cachedTokens(prompt, now))
    }

    @Test
    fun `reports expire after some seconds`() {
        report(CachedPromptPart("a", 400))
        assertTrue(cache.isReported(now))

        now += 4.seconds

        assertFalse(cache.isReported(now))
        assertEquals(0, cache.cachedTokens(prompt, now))
    }

    private fun report(vararg parts: CachedPromptPart) =
        cache.applyDelta(PromptCacheDelta("e", 1, false, parts.toList()), now)
}
