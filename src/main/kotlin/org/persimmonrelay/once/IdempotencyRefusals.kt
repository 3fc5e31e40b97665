package org.persimmonrelay.once

import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal
import kotlin.time.Duration

/** Refusals of idempotent calls. Each message says what the caller can do. */
internal object IdempotencyRefusals {
    fun keyReused(): IdempotentResult = notRun(
        NotRunReason.IDEMPOTENCY_KEY_REUSED,
        "This idempotency key was used with another body; take a new key for a new call.",
    )

    fun inProgress(retryAfter: Duration): IdempotentResult = notRun(
        NotRunReason.IN_PROGRESS,
        "The first call with this key is running and this repeat was not run; repeat it to get the answer.",
        retryAfter,
    )

    fun notStored(cause: String, retryAfter: Duration): IdempotentResult = notRun(
        NotRunReason.STORE_UNAVAILABLE,
        "The call was not run, because its claim could not be stored: $cause Repeat it with the same key.",
        retryAfter,
    )

    fun notSent(cause: String, retryAfter: Duration): IdempotentResult = notRun(
        NotRunReason.NO_SERVER,
        "The call was not run: $cause Repeat it with the same key.",
        retryAfter,
    )

    fun outcomeUnknown(cause: String): IdempotentResult = IdempotentResult.Refused(
        Refusal.OutcomeUnknown("$cause Find out whether it took effect before you call again with a new key."),
    )

    private fun notRun(reason: NotRunReason, message: String, retryAfter: Duration? = null): IdempotentResult =
        IdempotentResult.Refused(Refusal.NotRun(reason, message, retryAfter))
}
