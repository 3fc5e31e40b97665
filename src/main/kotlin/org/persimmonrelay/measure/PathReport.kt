package org.persimmonrelay.measure

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable

/** Figures of one run of [PathBench]. */
@Serializable
public data class PathReport(
    val firstToken: FirstTokenFigures,
    val tokens: TokenFigures,
    val idleInProcessEngine: List<IdleFigures>,
    val idleHttpEngine: List<IdleFigures>,
)

/**
 * Median time from the start of a request to its first token, in milliseconds, one request at a time, and the
 * processor time of the whole process per request in microseconds, which other load on the machine distorts less.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class FirstTokenFigures(
    val samples: Int,
    val directMillis: Double,
    val nodeMillis: Double,
    val directCpuMicros: Double,
    val nodeCpuMicros: Double,
) {
    /** What the node adds. */
    @EncodeDefault
    val addedMillis: Double = nodeMillis - directMillis
}

/** Tokens that all of [streams] concurrent streams got in a second. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class TokenFigures(
    val streams: Int,
    val tokensPerStream: Int,
    val directPerSecond: Double,
    val nodePerSecond: Double,
    val directCpuMicrosPerToken: Double,
    val nodeCpuMicrosPerToken: Double,
) {
    /** The node's rate as a share of the direct one. */
    @EncodeDefault
    val share: Double = nodePerSecond / directPerSecond
}

/**
 * Memory with [streams] open and idle, everything in one process. [heldHeapBytes] is the heap after [holdSeconds]
 * more; [heapBytesPerStream] is the slope since the first level (0 at the first).
 */
@Serializable
public data class IdleFigures(
    val streams: Int,
    val heapBytes: Long,
    val heldHeapBytes: Long,
    val holdSeconds: Int,
    val directBytes: Long,
    val heapBytesPerStream: Double,
)
