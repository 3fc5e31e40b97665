package org.persimmonrelay.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Timeouts and retries of orders. A sent message arrives within [messageLifetime] or never. A change that an engine
 * accepted and does not report as done within [changeTimeout] counts as declined.
 */
public data class OrderSettings(
    val orderTimeout: Duration = 2.seconds,
    val messageLifetime: Duration = 5.seconds,
    val pollEvery: Duration = 1.seconds,
    val sendsPerCall: Int = 3,
    val pollsPerSend: Int = 5,
    val changeTimeout: Duration = 10.minutes,
    val retryAfter: Duration = 5.seconds,
)
