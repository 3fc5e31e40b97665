package org.persimmonrelay.engine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Timeouts of calls to an engine.
 *
 * [connect] limits connection setup, [firstChunk] the wait for the first output chunk (queueing and prefill),
 * [progress] the time between two chunks, and [control] a request for a load report or a command.
 */
public data class EngineTimeouts(
    val connect: Duration = 2.seconds,
    val firstChunk: Duration = 30.seconds,
    val progress: Duration = 10.seconds,
    val control: Duration = 5.seconds,
)
