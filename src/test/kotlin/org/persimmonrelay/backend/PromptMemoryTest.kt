package org.persimmonrelay.backend

import org.persimmonrelay.clock.Moment
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class PromptMemoryTest {
    private val memory = PromptMemory(capacityTokens = 1_000)
    private val prompt = listOf(PromptPart("a", 400), PromptPart("b", 300), PromptPart("own", 100))
    private var now = Moment.ZERO

    @Test
    fun `without reports what was sent there counts, least recently used out first`() {
        memory.read(prompt, now)
        memory.read(listOf(PromptPart("c", 500)), now)

        assertEquals(0, memory.kept(prompt, now))
        assertEquals(500, memory.kept(listOf(PromptPart("c", 500)), now))
    }

    @Test
    fun `reports of other callers' prompts count`() {
        report(CachedPromptPart("a", 400), CachedPromptPart("b", 300))

        assertEquals(700, memory.kept(prompt, now))
    }

    @Test
    fun `a part behind one that is not kept whole has to be read`() {
        report(CachedPromptPart("a", 200), CachedPromptPart("b", 300))

        assertEquals(200, memory.kept(prompt, now))
    }

    @Test
    fun `a part that was dropped there is not kept, though this node sent it`() {
        memory.read(prompt, now)
        now += 2.seconds
        report(CachedPromptPart("a", 400))

        assertEquals(400, memory.kept(prompt, now))
    }

    @Test
    fun `what was sent a moment ago counts before the engine reports it`() {
        report()
        memory.read(prompt, now)

        assertEquals(800, memory.kept(prompt, now))
    }

    @Test
    fun `an engine that started again keeps nothing of before`() {
        report(CachedPromptPart("a", 400))
        memory.changed(PromptCacheDelta("other", 1, isIncomplete = false, listOf(CachedPromptPart("z", 10))), now)

        assertEquals(0, memory.kept(prompt, now))
    }

    @Test
    fun `a whole list takes the place of all before`() {
        report(CachedPromptPart("a", 400), CachedPromptPart("b", 300))
        memory.replaced(PromptCacheSnapshot("e", 9, listOf(CachedPromptPart("a", 400))), now)

        assertEquals(400, memory.kept(prompt, now))
    }

    @Test
    fun `reports are trusted for some seconds`() {
        report(CachedPromptPart("a", 400))
        assertTrue(memory.isReported(now))

        now += 4.seconds

        assertFalse(memory.isReported(now))
        assertEquals(0, memory.kept(prompt, now))
    }

    private fun report(vararg parts: CachedPromptPart) =
        memory.changed(PromptCacheDelta("e", 1, false, parts.toList()), now)
}
