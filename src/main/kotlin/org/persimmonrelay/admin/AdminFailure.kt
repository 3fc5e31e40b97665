package org.persimmonrelay.admin

import org.persimmonrelay.catalog.ChangeFailure
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal

/** Reason why an operator's request failed. Each kind has one error code and one HTTP status. */
public sealed interface AdminFailure {
    /** Describes the failure. */
    public val message: String

    /** Describes what the operator can do about it. */
    public val remedy: String

    /** The request is malformed. */
    public data class BadRequest(override val message: String, override val remedy: String) : AdminFailure

    /** The request has no operator's key or an invalid one. */
    public data class Unauthorized(override val message: String) : AdminFailure {
        override val remedy: String = "Send a valid operator's key as \"Authorization: Bearer pr_…\"."
    }

    /** The key is valid but belongs to a workspace. */
    public data object NotAnOperator : AdminFailure {
        override val message: String = "This key belongs to a workspace."
        override val remedy: String = "Use an operator's key; `ctl key issue NAME` without a workspace makes one."
    }

    /** The node's key states are too old to decide whether the operator's key is still valid. */
    public data class KeyStateUnknown(override val message: String) : AdminFailure {
        override val remedy: String = "Try another node, or use the bootstrap key of the settings."
    }

    /** The object, kind or version named in the path doesn't exist. */
    public data class NotFound(override val message: String, override val remedy: String) : AdminFailure

    /** The request body exceeds the size limit. */
    public data class TooLarge(val limitBytes: Int) : AdminFailure {
        override val message: String = "The body is longer than $limitBytes bytes."
        override val remedy: String = "Split the change into several."
    }

    /** The table service is unavailable. */
    public data class StoreUnavailable(override val message: String) : AdminFailure {
        override val remedy: String = "Try again when the table service answers."
    }

    /** The change was not stored, or its outcome is unknown. */
    public data class ChangeFailed(val failure: ChangeFailure) : AdminFailure {
        override val message: String
            get() = failure.message
        override val remedy: String
            get() = failure.remedy
    }

    public companion object {
        /** The failure for an operator's key that was rejected with [refusal]. */
        public fun of(refusal: Refusal.NotRun): AdminFailure = when (refusal.reason) {
            NotRunReason.KEY_STATE_UNKNOWN -> KeyStateUnknown(refusal.message)
            else -> Unauthorized(refusal.message)
        }
    }
}
