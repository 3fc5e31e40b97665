package org.persimmonrelay.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds of orders. What was sent arrives within [messageLifetime] or never. A change that the engine took and has
 * not shown after [changeTimeout] is given up.
 */
public data class OrderSettings(
    val orderTimeout: Duration = 2.seconds,
    val messageLifetime: Duration = 5.seconds,
    val askEvery: Duration = 1.seconds,
    val sendsPerCall: Int = 3,
    val asksPerSend: Int = 5,
    val changeTimeout: Duration = 10.minutes,
    val retryAfter: Duration = 5.seconds,
)
