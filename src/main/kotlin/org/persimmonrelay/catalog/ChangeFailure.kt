package org.persimmonrelay.catalog

import org.persimmonrelay.identity.OperationId

/** Why a change failed. Nothing was stored, except possibly with [OutcomeUnknown]. */
public sealed interface ChangeFailure {
    /** Describes the error. */
    public val message: String

    /** What the operator can do. */
    public val remedy: String

    /** The change contains errors. */
    public data class Invalid(val errors: List<ValidationError>) : ChangeFailure {
        override val message: String
            get() = errors.joinToString(" ") { "${it.path}: ${it.message}" }
        override val remedy: String
            get() = errors.joinToString(" ") { "${it.path}: ${it.remedy}" }
    }

    /** The object does not exist. */
    public data class NotFound(val ref: ObjectRef) : ChangeFailure {
        override val message: String = "There is no $ref."
        override val remedy: String = "List the names with `ctl get ${ref.kind.plural}`."
    }

    /** Another change was stored first, or an expected version does not match; nothing was stored. */
    public data class Conflict(val current: Long, override val message: String) : ChangeFailure {
        override val remedy: String = "Read version $current, decide again, and repeat the change against it."
    }

    /** The table service is unavailable. The change was not sent, so that nothing was stored. */
    public data class Unavailable(override val message: String) : ChangeFailure {
        override val remedy: String =
            "Nothing was changed; repeat it when the table service answers. To shut out a caller now, stop its " +
                "traffic at the platform's balancer."
    }

    /** It is unknown whether the change was stored as [version]. */
    public data class OutcomeUnknown(val version: Long, val operation: OperationId) : ChangeFailure {
        override val message: String = "No answer says whether the change was stored as version $version."
        override val remedy: String =
            "When the table service answers again, compare the operation of version $version " +
                "(`ctl status --version $version`) with $operation: the same means stored, another or none means not."
    }
}
