package org.persimmonrelay.forward

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Bounds of forwarding. Patience is how long a server may be silent before another is tried, where that is allowed. */
public data class ForwardSettings(
    val connectTimeout: Duration = 400.milliseconds,
    val leastPatience: Duration = 500.milliseconds,
    val patienceByTarget: Double = 1.6,
    val patienceByPauseTarget: Double = 4.0,
    val patienceShare: Double = 0.55,
    val bufferedBytes: Int = DEFAULT_BUFFERED_BYTES,
) {
    private companion object {
        const val DEFAULT_BUFFERED_BYTES = 256 * 1024
    }
}
