package org.persimmonrelay.forward

import java.io.ByteArrayOutputStream

/** One whole event of a stream, with its terminating empty line. */
public class StreamEvent(public val id: Long?, public val bytes: ByteArray)

/** Cuts the bytes of a `text/event-stream` into whole events. */
public class EventScanner {
    private val event = ByteArrayOutputStream()
    private val line = StringBuilder()
    private var id: Long? = null
    private var hasField = false

    /** True while part of an event has arrived. */
    public val isInsideEvent: Boolean
        get() = event.size() > 0

    /** Takes [bytes] and returns the events that they complete. */
    public fun feed(bytes: ByteArray): List<StreamEvent> {
        val events = ArrayList<StreamEvent>()
        for (byte in bytes) {
            event.write(byte.toInt())
            if (byte != LINE_FEED) {
                if (line.length < LONGEST_FIELD) line.append(byte.toInt().toChar())
            } else {
                endLine()?.let(events::add)
            }
        }
        return events
    }

    private fun endLine(): StreamEvent? {
        val text = line.toString().trimEnd('\r')
        line.setLength(0)
        if (text.isNotEmpty()) {
            hasField = true
            if (text.startsWith(ID_FIELD)) id = text.removePrefix(ID_FIELD).trim().toLongOrNull()
            return null
        }
        if (!hasField) return null
        val whole = StreamEvent(id, event.toByteArray())
        event.reset()
        id = null
        hasField = false
        return whole
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val ID_FIELD = "id:"

        /** Only the start of a line is looked at. */
        const val LONGEST_FIELD = 64
    }
}
