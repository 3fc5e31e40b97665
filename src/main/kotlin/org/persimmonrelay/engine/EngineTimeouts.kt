package org.persimmonrelay.engine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * How long an engine may take.
 *
 * [connect] bounds the making of a connection, [firstPiece] the wait for the first piece (queue and prefill),
 * [progress] the silence between two pieces, and [control] a load report or an order.
 */
public data class EngineTimeouts(
    val connect: Duration = 2.seconds,
    val firstPiece: Duration = 30.seconds,
    val progress: Duration = 10.seconds,
    val control: Duration = 5.seconds,
)
