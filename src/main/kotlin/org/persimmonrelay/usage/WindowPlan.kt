package org.persimmonrelay.usage

import org.persimmonrelay.platform.Row
import org.persimmonrelay.platform.UsageReport

/** A stored segment and the version of its row. */
internal data class StoredSegment(val key: String, val version: Long, val segment: Segment) {
    companion object {
        fun of(row: Row): StoredSegment = StoredSegment(row.key, row.version, Segment.decode(row.value))
    }
}

/** A window to be closed and its segments, including late ones of earlier windows. */
internal data class WindowPlan(val windowStart: Long, val segments: List<StoredSegment>) {
    /** A copy with at most [maxSegments] segments, its own before late ones; null when its own alone are more. */
    fun limitedTo(maxSegments: Int): WindowPlan? {
        val (own, late) = segments.partition { it.segment.windowStart == windowStart }
        return copy(segments = (own + late).take(maxSegments)).takeIf { own.size <= maxSegments }
    }

    /** The reports, in an order that depends only on the counts. */
    fun reports(window: String, nameOf: (Long) -> String): List<UsageReport> = segments
        .groupBy { it.segment.windowStart }
        .toSortedMap()
        .flatMap { (start, own) -> reports(window, nameOf(start).takeIf { start != windowStart }, own) }

    private fun reports(window: String, adjustmentOf: String?, segments: List<StoredSegment>): List<UsageReport> =
        segments
            .flatMap { it.segment.usage }
            .groupBy { it.workspace }
            .toSortedMap()
            .values
            .map { it.reduce(::sum) }
            .map {
                UsageReport(window, it.workspace, it.promptTokens, it.outputTokens, it.requests, adjustmentOf)
            }
}

/**
 * Decides which windows to close.
 *
 * [segments] are all that no window has consumed; [closed] is true for the starts of closed windows. A window is due
 * when it ended by [dueBefore], in milliseconds since the Unix epoch. Segments of a closed window go, as adjustments,
 * into the latest window that is due and not closed; while there is none, they remain stored.
 */
internal fun planWindows(
    segments: List<StoredSegment>,
    closed: (Long) -> Boolean,
    dueBefore: Long,
    windowMillis: Long,
): List<WindowPlan> {
    val due = segments.filter { it.segment.windowStart + windowMillis <= dueBefore }
    val (late, own) = due.partition { closed(it.segment.windowStart) }
    val latestDue = dueBefore - Math.floorMod(dueBefore, windowMillis) - windowMillis
    val plans = own.groupBy { it.segment.windowStart }.toSortedMap()
    val adjustedWindow = if (plans.isEmpty()) latestDue.takeUnless(closed) else plans.lastKey()
    if (late.isNotEmpty() && adjustedWindow != null) plans[adjustedWindow] = late + plans[adjustedWindow].orEmpty()
    return plans.map { (start, all) -> WindowPlan(start, all) }
}
