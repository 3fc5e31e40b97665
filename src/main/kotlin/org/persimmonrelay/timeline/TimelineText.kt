package org.persimmonrelay.timeline

import java.time.Instant
import java.time.ZoneOffset
import java.time.format.DateTimeFormatter

/** Renders a merged time line as text: one line for each event, oldest first, times in UTC. */
public object TimelineText {
    private val TIME = DateTimeFormatter.ofPattern("HH:mm:ss.SSS").withZone(ZoneOffset.UTC)
    private val DAY = DateTimeFormatter.ofPattern("yyyy-MM-dd").withZone(ZoneOffset.UTC)

    /** Renders the time line; missing events are listed first. */
    public fun render(timeline: MergedTimeline): String = buildString {
        timeline.lanes.mapNotNull(::gap).forEach { appendLine("! $it") }
        val width = timeline.lanes.maxOfOrNull { it.node.value.length } ?: 0
        var day = ""
        timeline.entries.forEach {
            val entryDay = day(it.at)
            if (entryDay != day) appendLine("-- $entryDay UTC")
            day = entryDay
            appendLine(
                "${time(it.at)}  ${it.node.value.padEnd(width)}  ${it.number} ${it.name}  ${details(it)}".trimEnd(),
            )
        }
    }

    internal fun gap(lane: NodeTimeline): String? = when {
        lane.failure != null -> "${lane.node}: not collected: ${lane.failure}"
        lane.overwritten > 0 -> "${lane.node}: ${lane.overwritten} older events are overwritten"
        else -> null
    }

    internal fun time(at: HybridTimestamp): String = TIME.format(Instant.ofEpochMilli(at.wallMillis))

    internal fun day(at: HybridTimestamp): String = DAY.format(Instant.ofEpochMilli(at.wallMillis))

    internal fun details(entry: TimelineEntry): String = entry.fields.joinToString(" ") { "${it.name}=${it.value}" }
}
