package org.persimmonrelay.usage

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of usage metering. A window is closed [grace] after its end, which has to cover a flush and the difference
 * between clocks. It is closed later, at most [maxGrace] after its end, while a node that ran recently has not stored
 * its counts. Counts that are flushed after that are reported as an adjustment. Nodes are divided into [shards], each
 * with a duty of its own. A transaction consumes at most [maxSegmentsPerWindow] segments; more are merged first.
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
