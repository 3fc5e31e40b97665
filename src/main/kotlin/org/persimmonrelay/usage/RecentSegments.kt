package org.persimmonrelay.usage

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The segments that one node has stored in the last [RETENTION], to be stored again if the store is restored from an
 * older copy. Times are wall-clock time in milliseconds.
 */
internal class RecentSegments {
    private val flushes = ArrayDeque<Flush>()

    private class Flush(val segments: List<Segment>, val storedAt: Long)

    /** [segments] were stored together at [now]. */
    fun add(segments: List<Segment>, now: Long) {
        flushes += Flush(segments, now)
        while (now - flushes.first().storedAt > RETENTION.inWholeMilliseconds) flushes.removeFirst()
    }

    /** Removes and returns the segments of each flush after the one that ended with segment number [sequence]. */
    fun takeAfter(sequence: Long): List<List<Segment>> {
        val lost = flushes.filter { it.segments.last().sequence > sequence }
        flushes.removeAll(lost.toSet())
        return lost.map { it.segments }
    }

    private companion object {
        /** Longer than copies of the store are old. */
        val RETENTION: Duration = 60.seconds
    }
}
