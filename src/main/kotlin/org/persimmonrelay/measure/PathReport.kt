package org.persimmonrelay.measure

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable

/** Results of one run of [PathBench]. */
@Serializable
public data class PathReport(
    val firstToken: FirstTokenFigures,
    val tokens: TokenFigures,
    val idleInProcessEngine: List<IdleFigures>,
    val idleHttpEngine: List<IdleFigures>,
)

/**
 * Median time from the start of a request to its first token, in milliseconds, with one request at a time. Also the
 * processor time of the whole process per request, in microseconds, which other load on the machine distorts less.
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
    /** Latency that the node adds, in milliseconds. */
    @EncodeDefault
    val addedMillis: Double = nodeMillis - directMillis
}

/** Tokens per second over all [streams] concurrent streams, and processor time per token in microseconds. */
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
    /** Rate through the node divided by the direct rate. */
    @EncodeDefault
    val share: Double = nodePerSecond / directPerSecond
}

/**
 * Memory with [streams] idle streams open; client, node and engine share one process. [heldHeapBytes] is the heap in
 * use [holdSeconds] later. [heapBytesPerStream] is the increase per stream since the first level (0 at the first).
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
