package org.persimmonrelay.forward

import java.io.ByteArrayOutputStream

/** One complete event of a stream. [bytes] includes the terminating empty line; [id] is null without a numeric id. */
public class StreamEvent(public val id: Long?, public val bytes: ByteArray)

/** Splits the bytes of a `text/event-stream` into complete events of at most [maxEventBytes]. */
public class EventStreamSplitter(private val maxEventBytes: Int) {
    private val event = ByteArrayOutputStream()
    private val line = StringBuilder()
    private var id: Long? = null
    private var hasField = false

    /** True when the bytes so far hold at least one complete event. */
    public var hasCompleteEvent: Boolean = false
        private set

    /** True when the bytes so far end inside an event. */
    public val hasPartialEvent: Boolean
        get() = event.size() > 0

    /** True when the event that has begun, with empty lines before it, is longer than the limit. */
    public val isOversized: Boolean
        get() = event.size() > maxEventBytes

    /** Adds [bytes] and returns the events that these complete. */
    public fun feed(bytes: ByteArray): List<StreamEvent> {
        val events = ArrayList<StreamEvent>()
        for (byte in bytes) {
            event.write(byte.toInt())
            if (byte != LINE_FEED) {
                if (line.length < MAX_LINE_PREFIX) line.append(byte.toInt().toChar())
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
        hasCompleteEvent = true
        val complete = StreamEvent(id, event.toByteArray())
        event.reset()
        id = null
        hasField = false
        return complete
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val ID_FIELD = "id:"

        /** Longest start of a line, in characters, that is searched for the `id` field. */
        const val MAX_LINE_PREFIX = 64
    }
}
