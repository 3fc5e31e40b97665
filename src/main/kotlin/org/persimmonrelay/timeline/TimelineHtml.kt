/*
 * The time line as an HTML page without external assets: a lane for each node with a mark for each event, coloured
 * by event area, above a table of the same events. Both can be filtered by text, event number, node and area.
 */
package org.persimmonrelay.timeline

import kotlinx.html.DIV
import kotlinx.html.FlowContent
import kotlinx.html.InputType
import kotlinx.html.TBODY
import kotlinx.html.a
import kotlinx.html.body
import kotlinx.html.button
import kotlinx.html.div
import kotlinx.html.h1
import kotlinx.html.head
import kotlinx.html.header
import kotlinx.html.html
import kotlinx.html.id
import kotlinx.html.input
import kotlinx.html.label
import kotlinx.html.lang
import kotlinx.html.meta
import kotlinx.html.p
import kotlinx.html.script
import kotlinx.html.span
import kotlinx.html.stream.appendHTML
import kotlinx.html.style
import kotlinx.html.table
import kotlinx.html.tbody
import kotlinx.html.td
import kotlinx.html.th
import kotlinx.html.thead
import kotlinx.html.title
import kotlinx.html.tr
import kotlinx.html.unsafe
import java.util.Locale

/** Renders a merged time line as a self-contained HTML page. */
public object TimelineHtml {
    private const val PERCENT = 100.0
    private const val TICKS = 6
    private val STYLE = resource("timeline.css")
    private val SCRIPT = resource("timeline.js")

    /** Returns the HTML source of the page. */
    public fun render(timeline: MergedTimeline): String = buildString {
        appendLine("<!DOCTYPE html>")
        appendHTML().html {
            lang = "en"
            head {
                meta(charset = "utf-8")
                meta(name = "viewport", content = "width=device-width, initial-scale=1")
                title("Time line of ${timeline.lanes.size} nodes")
                style { unsafe { raw(STYLE + areaColours()) } }
            }
            body {
                heading(timeline)
                filters(timeline)
                lanes(timeline)
                events(timeline)
                script { unsafe { raw(SCRIPT) } }
            }
        }
    }

    private fun areaColours() = EventArea.entries.joinToString("\n") { area ->
        val hue = area.ordinal * HUE_STEP % FULL_CIRCLE
        ".${area.label}{--area:hsl($hue 62% 42%)}"
    }

    private fun FlowContent.heading(timeline: MergedTimeline) = header {
        h1 { +"Time line" }
        p { +summary(timeline) }
        timeline.lanes.mapNotNull(TimelineText::gap).forEach { p("gap") { +it } }
    }

    private fun summary(timeline: MergedTimeline): String {
        val first = timeline.entries.firstOrNull()?.at ?: return "No events from ${timeline.lanes.size} nodes."
        val last = timeline.entries.last().at
        val seconds = (last.wallMillis - first.wallMillis) / MILLIS_PER_SECOND
        return "${timeline.entries.size} events of ${timeline.lanes.size} nodes, ${TimelineText.day(first)} " +
            "${TimelineText.time(first)} to ${TimelineText.time(last)} UTC (${format(seconds)} s)."
    }

    private fun FlowContent.filters(timeline: MergedTimeline) = div("filters") {
        input(InputType.search) {
            id = "filter"
            placeholder = "Filter: words or event numbers; a leading - excludes"
            attributes["aria-label"] = "Filter"
        }
        timeline.entries.mapNotNull { EventArea.of(it.number) }.distinct().sorted().forEach { area ->
            label("chip ${area.label}") {
                input(InputType.checkBox) {
                    checked = true
                    value = area.label
                }
                span { +area.label }
            }
        }
        button { +"Clear" }
        span { id = "shown" }
    }

    private fun FlowContent.lanes(timeline: MergedTimeline) = div("lanes") {
        val scale = Scale.of(timeline)
        axis(scale)
        val byNode = timeline.entries.withIndex().groupBy { it.value.node }
        timeline.lanes.groupBy { it.location }.forEach { (location, lanes) ->
            div("place") { +location }
            lanes.forEach { lane(it, byNode[it.node].orEmpty(), scale) }
        }
    }

    private fun DIV.axis(scale: Scale) = div("lane axis") {
        span("name") { +"UTC" }
        div("track") {
            repeat(TICKS) { tick ->
                val fraction = tick.toDouble() / TICKS
                span("tick") {
                    style = "left:${format(fraction * PERCENT)}%"
                    +TimelineText.time(HybridTimestamp(scale.at(fraction), 0))
                }
            }
        }
    }

    private fun DIV.lane(lane: NodeTimeline, entries: List<IndexedValue<TimelineEntry>>, scale: Scale) = div("lane") {
        attributes["data-node"] = lane.node.value
        span("name") { +lane.node.value }
        div(if (lane.failure == null) "track" else "track missing") {
            if (lane.failure != null) span("reason") { +"not collected" }
            gapBefore(lane, scale)
            entries.forEach { (index, entry) -> mark(index, entry, scale) }
        }
    }

    private fun DIV.gapBefore(lane: NodeTimeline, scale: Scale) {
        val first = lane.entries.firstOrNull()
        if (lane.overwritten == 0L || first == null) return
        span("overwritten") {
            style = "width:${format(scale.fraction(first.at) * PERCENT)}%"
            attributes["title"] = "${lane.overwritten} older events are overwritten"
        }
    }

    private fun DIV.mark(index: Int, entry: TimelineEntry, scale: Scale) =
        a("#e$index", classes = "mark ${area(entry)}") {
            style = "left:${format(scale.fraction(entry.at) * PERCENT)}%"
            attributes["data-event"] = "$index"
            attributes["title"] =
                "${TimelineText.time(entry.at)} ${entry.number} ${entry.name} ${TimelineText.details(entry)}"
        }

    private fun FlowContent.events(timeline: MergedTimeline) = table {
        thead {
            tr { listOf("time (UTC)", "node", "number", "event", "what happened").forEach { th { +it } } }
        }
        tbody { timeline.entries.forEachIndexed { index, entry -> row(index, entry) } }
    }

    private fun TBODY.row(index: Int, entry: TimelineEntry) = tr(area(entry)) {
        id = "e$index"
        attributes["data-area"] = area(entry)
        td("time") { +TimelineText.time(entry.at) }
        td { +entry.node.value }
        td("number") { +"${entry.number}" }
        td("event") { +entry.name }
        td {
            +entry.summary
            entry.fields.forEach {
                span("field") {
                    span("key") { +it.name }
                    +it.value
                }
            }
        }
    }

    private fun area(entry: TimelineEntry) = EventArea.of(entry.number)?.label ?: "other"

    private fun format(number: Double) = String.format(Locale.ROOT, "%.3f", number)

    private fun resource(name: String): String = checkNotNull(TimelineHtml::class.java.getResource(name)) {
        "The resource $name is not in the build."
    }.readText()

    /** Maps timestamps to fractions of a lane's width, from 0 to 1. */
    private class Scale(private val first: Long, private val span: Long) {
        fun fraction(at: HybridTimestamp): Double = (at.wallMillis - first).toDouble() / span

        fun at(fraction: Double): Long = first + (span * fraction).toLong()

        companion object {
            fun of(timeline: MergedTimeline): Scale {
                val first = timeline.entries.firstOrNull()?.at?.wallMillis ?: 0
                val last = timeline.entries.lastOrNull()?.at?.wallMillis ?: 0
                return Scale(first, maxOf(1, last - first))
            }
        }
    }

    private const val HUE_STEP = 137
    private const val FULL_CIRCLE = 360
    private const val MILLIS_PER_SECOND = 1000.0
}
