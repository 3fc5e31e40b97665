package org.persimmonrelay.usage

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class WriterProgressTest {
    private val writers = listOf(WriterRow(sequence = 4, countedThrough = 9_000), WriterRow(7, 18_000))

    @Test
    fun `a writer that has stored nothing for long counts as stopped`() {
        assertEquals(18_000, storedThrough(writers, now = 20_000, forgetAfter = 11_000))
        assertNull(storedThrough(writers, now = 30_000, forgetAfter = 11_000))
    }

    /** Guards against a window closed without the counts of a node whose latest row a restored table has lost. */
    @Test
    fun `after a restore, writers with old rows are waited for as if they had just stored them`() {
        assertEquals(9_000, storedThrough(writers, now = 21_000, forgetAfter = 11_000, restoredAt = 20_000))
        assertEquals(9_000, storedThrough(writers, now = 27_900, forgetAfter = 11_000, restoredAt = 17_000))
    }
}
