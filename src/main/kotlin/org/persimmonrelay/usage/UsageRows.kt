/*
 * Rows of usage metering. A segment has the counts of one node between two flushes for one window. The writer row of a
 * node's incarnation has the number of its last segment and the time up to which all its counts are stored. It is
 * written in the same transaction as each segment, so that a repeated write can't restore a segment that was already
 * consumed. A window row has the bytes to be reported and never changes. The transaction that closes a window also
 * deletes its segments, so that each segment counts exactly once.
 */
package org.persimmonrelay.usage

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.platform.UsageReport
import org.persimmonrelay.platform.UsageReports

/** Usage of a workspace. */
@Serializable
internal data class WorkspaceUsage(
    val workspace: String,
    val promptTokens: Long,
    val outputTokens: Long,
    val requests: Long,
)

/** Counts of one node between two flushes for one window. [windowStart] is in milliseconds since the Unix epoch. */
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
 * Progress of one incarnation: [sequence] is that of its last segment. All its counts up to [countedThrough], in
 * milliseconds since the Unix epoch, are in segments up to that one.
 */
@Serializable
internal data class WriterRow(val sequence: Long, val countedThrough: Long) {
    fun encode(): String = Json.encodeToString(serializer(), this)

    companion object {
        fun decode(value: String): WriterRow = Json.decodeFromString(serializer(), value)
    }
}

/** A closed window. [body] is the report, which is sent byte for byte; [epoch] is the fencing token of the
 * lease at closing. */
@Serializable
internal data class WindowRow(val window: String, val epoch: Long, val body: String) {
    fun encode(): String = Json.encodeToString(serializer(), this)

    companion object {
        fun decode(value: String): WindowRow = Json.decodeFromString(serializer(), value)
    }
}

/**
 * Which windows may have been reported before the table was last restored, [restores] times so far: those that ended by
 * [throughMillis], in milliseconds since the Unix epoch, and have no row of their own.
 */
@Serializable
internal data class RestoreRow(val restores: Long, val throughMillis: Long) {
    fun encode(): String = Json.encodeToString(serializer(), this)

    companion object {
        fun decode(value: String): RestoreRow = Json.decodeFromString(serializer(), value)
    }
}

/** The body of a window's report. */
@Serializable
internal data class WindowBody(val reports: List<UsageReport>) {
    fun encode(): String = Json.encodeToString(serializer(), this)
}

/** Decodes the reports in the body that [UsageReports] gets for a window. */
public fun decodeReports(body: String): List<UsageReport> = Json.decodeFromString(WindowBody.serializer(), body).reports

/** Keys of the rows of one shard. */
internal data class UsageKeys(val shard: Int) {
    val segments: String = "usage/segment/$shard/"
    val pending: String = "usage/pending/$shard/"

    val writers: String = "usage/writer/$shard/"

    val restore: String = "usage/restore/$shard"

    fun writer(incarnation: Incarnation): String = writers + incarnation.value

    fun segment(segment: Segment): String =
        segments + segment.incarnation.value + "/" + segment.sequence.toString().padStart(SEQUENCE_DIGITS, '0')

    fun window(window: String): String = "usage/window/$window"

    fun pending(window: String): String = pending + window

    /** The window's name in reports; names of a shard sort by time. */
    fun windowName(windowStart: Long): String = "$windowStart-$shard"

    companion object {
        private const val SEQUENCE_DIGITS = 12

        /** The shard to which the segments of [incarnation] belong. */
        fun shardOf(incarnation: Incarnation, shards: Int): Int = Math.floorMod(incarnation.value.hashCode(), shards)
    }
}
