package org.persimmonrelay.outcome

import kotlin.time.Duration

/**
 * Why a request did not return a result.
 *
 * [NotRun] guarantees that no backend server has received any byte of the request, so it may be created only
 * before the first send. A failure after that is [OutcomeUnknown].
 */
public sealed interface Refusal {
    /** Message for the caller, including what the caller can do about the refusal. */
    public val message: String

    /** The request was not run and is safe to retry, after [retryAfter] if that is set. */
    public data class NotRun(
        val reason: NotRunReason,
        override val message: String,
        val retryAfter: Duration? = null,
    ) : Refusal

    /** The request may have been run; the caller must check for its effects before retrying. */
    public data class OutcomeUnknown(override val message: String) : Refusal
}
