package org.persimmonrelay.once

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Bounds of [IdempotencyManager]. A key can be used for another call once [retention] has passed since its claim. */
public data class IdempotencySettings(
    val retention: Duration = 24.hours,
    val gatherWindow: Duration = 2.milliseconds,
    val maxBatch: Int = 64,
    val maxWaitingClaims: Int = 4_096,
    val maxAnswerBytes: Int = DEFAULT_ANSWER_BYTES,
    val retryOutcomeAfter: Duration = 1.seconds,
    val releaseTimeout: Duration = 1.seconds,
    val repeatAfter: Duration = 1.seconds,
    val sweepPage: Int = 200,
    val sweepPause: Duration = 2.seconds,
) {
    private companion object {
        const val DEFAULT_ANSWER_BYTES = 256 * 1024
    }
}
