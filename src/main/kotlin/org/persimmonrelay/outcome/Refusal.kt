package org.persimmonrelay.outcome

import kotlin.time.Duration

/**
 * Why a request did not end with a result.
 *
 * [NotRun] promises that no backend server has received any byte of the request; it may be built only
 * before the first send. Everything after that is [OutcomeUnknown] or a result.
 */
public sealed interface Refusal {
    /** Text for the caller; names the remedy. */
    public val message: String

    /** The request was not run and can be repeated without risk, after [retryAfter] when it is given. */
    public data class NotRun(
        val reason: NotRunReason,
        override val message: String,
        val retryAfter: Duration? = null,
    ) : Refusal

    /** The request may have been run; the caller has to find out before it repeats it. */
    public data class OutcomeUnknown(override val message: String) : Refusal
}
