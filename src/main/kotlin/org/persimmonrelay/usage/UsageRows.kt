/*
 * Rows of metering. A segment is what one node counted between two flushes, with the window it belongs to. The
 * writer row of a node's incarnation holds the number of its last segment and the time up to which its segments hold
 * all that it counted; each segment is written in one transaction with it, so that a repeated write can't bring back
 * a segment that was already consumed. A window
 * row holds the bytes to be reported and never changes; closing a window removes its segments in the same
 * transaction, so that each counts exactly once.
 */
package org.persimmonrelay.usage

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.platform.UsageReport
import org.persimmonrelay.platform.UsageReports

/** What a workspace used. */
@Serializable
internal data class WorkspaceUsage(
    val workspace: String,
    val promptTokens: Long,
    val outputTokens: Long,
    val requests: Long,
)

/** One flush of one node. [windowStart] is in milliseconds since the Unix epoch. */
@Serializable
internal data class Segment(
    val incarnation: Incarnation,
    val sequence: Long,
    val windowStart: Long,
    val usage: List<WorkspaceUsage>,
) {
    fun encode(): String = Json.encodeToString(serializer(), this)

    companion object {
        fun decode(value: String): Segment = Json.decodeFromString(serializer(), value)
    }
}

/**
 * The last segment of one incarnation. All that it counted up to [countedThrough], in milliseconds since the Unix
 * epoch, is in segments up to that one.
 */
@Serializable
internal data class WriterRow(val sequence: Long, val countedThrough: Long) {
    fun encode(): String = Json.encodeToString(serializer(), this)

    companion object {
        fun decode(value: String): WriterRow = Json.decodeFromString(serializer(), value)
    }
}

/** The figures of a closed window: [body] is reported byte for byte. */
@Serializable
internal data class WindowRow(val window: String, val epoch: Long, val body: String) {
    fun encode(): String = Json.encodeToString(serializer(), this)

    companion object {
        fun decode(value: String): WindowRow = Json.decodeFromString(serializer(), value)
    }
}

/** The body of a report. */
@Serializable
internal data class WindowBody(val reports: List<UsageReport>) {
    fun encode(): String = Json.encodeToString(serializer(), this)
}

/** The reports in the body that [UsageReports] is given for a window. */
public fun decodeReports(body: String): List<UsageReport> = Json.decodeFromString(WindowBody.serializer(), body).reports

/** Keys of the rows of one shard. */
internal data class UsageKeys(val shard: Int) {
    val segments: String = "usage/segment/$shard/"
    val pending: String = "usage/pending/$shard/"

    val writers: String = "usage/writer/$shard/"

    fun writer(incarnation: Incarnation): String = writers + incarnation.value

    fun segment(segment: Segment): String =
        segments + segment.incarnation.value + "/" + segment.sequence.toString().padStart(SEQUENCE_DIGITS, '0')

    fun window(window: String): String = "usage/window/$window"

    fun pending(window: String): String = pending + window

    /** The window's name in reports; sorts by time within its shard. */
    fun windowName(windowStart: Long): String = "$windowStart-$shard"

    companion object {
        private const val SEQUENCE_DIGITS = 12

        /** The shard whose duty closes the segments of [incarnation]. */
        fun shardOf(incarnation: Incarnation, shards: Int): Int = Math.floorMod(incarnation.value.hashCode(), shards)
    }
}
