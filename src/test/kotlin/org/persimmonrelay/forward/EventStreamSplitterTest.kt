package org.persimmonrelay.forward

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class EventStreamSplitterTest {
    private val stream = (1L..40).joinToString("") { "id: $it\ndata: piece $it é\n\n" }.encodeToByteArray()

    @Test
    fun `events are complete and in order wherever the bytes are split`() {
        repeat(50) { seed ->
            val random = Random(seed)
            val splitter = EventStreamSplitter(MAX_EVENT_BYTES)
            val events = ArrayList<StreamEvent>()
            var at = 0
            while (at < stream.size) {
                val end = minOf(stream.size, at + 1 + random.nextInt(30))
                events += splitter.feed(stream.copyOfRange(at, end))
                at = end
            }

            assertEquals((1L..40).toList(), events.map { it.id })
            assertContentEquals(stream, events.map { it.bytes }.reduce(ByteArray::plus))
            assertFalse(splitter.hasPartialEvent)
        }
    }

    @Test
    fun `a stream that ends inside an event is detected`() {
        val splitter = EventStreamSplitter(MAX_EVENT_BYTES)

        assertEquals(1, splitter.feed("id: 1\ndata: a\n\nid: 2\ndata: b".encodeToByteArray()).size)
        assertTrue(splitter.hasPartialEvent)
    }

    @Test
    fun `carriage returns and fields other than id and data belong to their event`() {
        val event = EventStreamSplitter(MAX_EVENT_BYTES).feed(
            "weight-versions: 3\r\nid: 9\r\ndata: x\r\n\r\n".encodeToByteArray(),
        ).single()

        assertEquals(9, event.id)
    }

    @Test
    fun `an event over the limit is noticed before it ends, empty lines included`() {
        listOf("data: ${"x".repeat(2_000)}", "\n".repeat(2_000)).forEach { text ->
            val splitter = EventStreamSplitter(MAX_EVENT_BYTES)

            assertEquals(emptyList(), splitter.feed(text.encodeToByteArray()))

            assertTrue(splitter.isOversized)
        }
    }

    private companion object {
        const val MAX_EVENT_BYTES = 1_000
    }
}
