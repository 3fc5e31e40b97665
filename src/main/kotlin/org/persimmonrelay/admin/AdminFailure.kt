package org.persimmonrelay.admin

import org.persimmonrelay.catalog.ChangeFailure
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal

/** Why an operator's request gave no result. Each kind has one HTTP status and one error code. */
public sealed interface AdminFailure {
    /** What happened. */
    public val message: String

    /** What the operator can do. */
    public val remedy: String

    /** The request can't be read. */
    public data class BadRequest(override val message: String, override val remedy: String) : AdminFailure

    /** No operator's key came with the request, or it is not valid. */
    public data class Unauthorized(override val message: String) : AdminFailure {
        override val remedy: String = "Send a valid operator's key as \"Authorization: Bearer pr_…\"."
    }

    /** The key is valid but belongs to a workspace. */
    public data object NotAnOperator : AdminFailure {
        override val message: String = "This key belongs to a workspace."
        override val remedy: String = "Use an operator's key; `ctl key issue NAME` without a workspace makes one."
    }

    /** The node can't tell whether the operator's key is still valid. */
    public data class KeyStateUnknown(override val message: String) : AdminFailure {
        override val remedy: String = "Try another node, or use the bootstrap key of the settings."
    }

    /** There is no such thing as the path names. */
    public data class NoSuchThing(override val message: String, override val remedy: String) : AdminFailure

    /** The body is longer than allowed. */
    public data class TooLarge(val limitBytes: Int) : AdminFailure {
        override val message: String = "The body is longer than $limitBytes bytes."
        override val remedy: String = "Split the change into several."
    }

    /** The table service can't be read. */
    public data class StoreUnavailable(override val message: String) : AdminFailure {
        override val remedy: String = "Try again when the table service answers."
    }

    /** The change was not accepted. */
    public data class NotChanged(val failure: ChangeFailure) : AdminFailure {
        override val message: String
            get() = failure.message
        override val remedy: String
            get() = failure.remedy
    }

    public companion object {
        /** The failure that stands for a refused operator's key. */
        public fun of(refusal: Refusal.NotRun): AdminFailure = when (refusal.reason) {
            NotRunReason.KEY_STATE_UNKNOWN -> KeyStateUnknown(refusal.message)
            else -> Unauthorized(refusal.message)
        }
    }
}
