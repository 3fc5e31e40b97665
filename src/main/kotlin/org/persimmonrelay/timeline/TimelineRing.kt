package org.persimmonrelay.timeline

import net.logstash.logback.argument.StructuredArguments.kv
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.slf4j.LoggerFactory

/** Events read from a ring buffer; [overwritten] is the number of older events that are no longer available. */
public data class TimelineExcerpt(val entries: List<TimelineEntry>, val overwritten: Long)

/**
 * Ring buffer of the latest [capacity] events of this node. Each event is also logged with its number and fields as
 * structured arguments. Thread-safe.
 */
public class TimelineRing(
    private val node: NodeId,
    private val incarnation: Incarnation,
    private val capacity: Int,
    private val clock: Clock,
    private val hybridClock: HybridClock = HybridClock(),
    private val log: (EventCode, List<EventField>) -> Unit = ::logEvent,
) : EventSink {
    private val entries = ArrayDeque<TimelineEntry>()
    private var sequence = 0L

    override fun record(code: EventCode, vararg fields: EventField) {
        val fieldList = fields.toList()
        append(code, fieldList)
        log(code, fieldList)
    }

    /** Returns at most [limit] events with a sequence number greater than [sequence], oldest first. */
    @Synchronized
    public fun after(sequence: Long, limit: Int): TimelineExcerpt {
        val oldest = entries.firstOrNull()?.sequence ?: (this.sequence + 1)
        val selected = entries.asSequence().dropWhile { it.sequence <= sequence }.take(limit).toList()
        return TimelineExcerpt(selected, maxOf(0, oldest - 1 - sequence))
    }

    @Synchronized
    private fun append(code: EventCode, fields: List<EventField>) {
        sequence++
        val at = hybridClock.tick(clock.wallMillis())
        entries += TimelineEntry(at, node, incarnation, sequence, code.number, code.name, code.summary, fields)
        if (entries.size > capacity) entries.removeFirst()
    }
}

private val LOGGER = LoggerFactory.getLogger("org.persimmonrelay.events")

/** Writes one event to the JSON log, with its number and fields as structured arguments. */
private fun logEvent(code: EventCode, fields: List<EventField>) {
    val arguments = listOf(kv("event", code.name), kv("number", code.number)) + fields.map { kv(it.name, it.value) }
    LOGGER.info(code.summary, *arguments.toTypedArray())
}
