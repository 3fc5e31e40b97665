package org.persimmonrelay.route

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Limits on size and duration of callers' requests. [idleTimeout] applies to a connection without a request. */
public data class CallerLimits(
    val headerBytes: Int = DEFAULT_HEADER_BYTES,
    val bodyBytes: Int = DEFAULT_BODY_BYTES,
    val headerTimeout: Duration = 3.seconds,
    val idleTimeout: Duration = 15.seconds,
) {
    private companion object {
        const val DEFAULT_HEADER_BYTES = 16 * 1024
        const val DEFAULT_BODY_BYTES = 4 * 1024 * 1024
    }
}
