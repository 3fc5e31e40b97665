package org.persimmonrelay.once

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of [IdempotencyManager]. A key can be used for another call once [retention] has passed since its claim.
 * Responses whose base64 body is longer than [maxResponseBytes] are not stored. Callers are told to retry after
 * [repeatAfter].
 */
public data class IdempotencySettings(
    val retention: Duration = 24.hours,
    val batchWindow: Duration = 2.milliseconds,
    val maxBatch: Int = 64,
    val maxQueuedClaims: Int = 4_096,
    val maxResponseBytes: Int = DEFAULT_RESPONSE_BYTES,
    val retryOutcomeAfter: Duration = 1.seconds,
    val releaseTimeout: Duration = 1.seconds,
    val repeatAfter: Duration = 1.seconds,
    val sweepPageSize: Int = 200,
    val sweepPause: Duration = 2.seconds,
) {
    private companion object {
        const val DEFAULT_RESPONSE_BYTES = 256 * 1024
    }
}
