package org.persimmonrelay.platform

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Rate limits, timeouts and retries of one node's calls to the table service. Rates are in rows per second. */
public data class TableClientSettings(
    val readsPerSecond: Double = 50.0,
    val writesPerSecond: Double = 50.0,
    val burstSeconds: Double = 2.0,
    val maxBudgetWait: Duration = 200.milliseconds,
    val callTimeout: Duration = 1.seconds,
    val commitAttempts: Int = 3,
    val failuresToOpen: Int = 3,
    val firstBackoff: Duration = 250.milliseconds,
    val maxBackoff: Duration = 5.seconds,
)
