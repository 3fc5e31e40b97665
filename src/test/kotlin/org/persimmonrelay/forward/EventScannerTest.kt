package org.persimmonrelay.forward

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class EventScannerTest {
    private val stream = (1L..40).joinToString("") { "id: $it\ndata: piece $it é\n\n" }.encodeToByteArray()

    @Test
    fun `events come out whole and in order however the bytes are cut`() {
        repeat(50) { seed ->
            val random = Random(seed)
            val scanner = EventScanner()
            val events = ArrayList<StreamEvent>()
            var at = 0
            while (at < stream.size) {
                val end = minOf(stream.size, at + 1 + random.nextInt(30))
                events += scanner.feed(stream.copyOfRange(at, end))
                at = end
            }

            assertEquals((1L..40).toList(), events.map { it.id })
            assertContentEquals(stream, events.map { it.bytes }.reduce(ByteArray::plus))
            assertFalse(scanner.isInsideEvent)
        }
    }

    @Test
    fun `a stream that stops inside an event is seen to`() {
        val scanner = EventScanner()

        assertEquals(1, scanner.feed("id: 1\ndata: a\n\nid: 2\ndata: b".encodeToByteArray()).size)
        assertTrue(scanner.isInsideEvent)
    }

    @Test
    fun `carriage returns and version lines belong to their event`() {
        val event = EventScanner().feed("weight-versions: 3\r\nid: 9\r\ndata: x\r\n\r\n".encodeToByteArray()).single()

        assertEquals(9, event.id)
    }
}
