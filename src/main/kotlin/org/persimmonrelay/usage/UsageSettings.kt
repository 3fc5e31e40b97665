package org.persimmonrelay.usage

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds of metering. A window is closed [grace] after its end, which has to outlast a flush and the difference
 * between clocks, or later where a node that ran lately has not stored its counts, but at most [maxGrace] after
 * its end. What is flushed later becomes an adjustment. [shards] splits the nodes over that many duties.
 * A transaction consumes at most [maxSegmentsPerWindow]; where there are more, they are joined first.
 */
public data class UsageSettings(
    val window: Duration = 5.minutes,
    val flushEvery: Duration = 30.seconds,
    val grace: Duration = 60.seconds,
    val maxGrace: Duration = grace,
    val closeEvery: Duration = 15.seconds,
    val retryAfter: Duration = 2.seconds,
    val shards: Int = 1,
    val maxSegmentsPerWindow: Int = 500,
)
