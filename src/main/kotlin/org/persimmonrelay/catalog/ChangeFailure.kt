package org.persimmonrelay.catalog

import org.persimmonrelay.identity.OperationId

/** Why a change was not accepted. Only [OutcomeUnknown] leaves open whether it was stored. */
public sealed interface ChangeFailure {
    /** What happened. */
    public val message: String

    /** What the operator can do. */
    public val remedy: String

    /** The change is wrong in itself. */
    public data class Invalid(val errors: List<ValidationError>) : ChangeFailure {
        override val message: String
            get() = errors.joinToString(" ") { "${it.path}: ${it.message}" }
        override val remedy: String
            get() = errors.joinToString(" ") { "${it.path}: ${it.remedy}" }
    }

    /** There is no such object. */
    public data class NotFound(val ref: ObjectRef) : ChangeFailure {
        override val message: String = "There is no $ref."
        override val remedy: String = "List the names with `ctl get ${ref.kind.plural}`."
    }

    /** Another operator was faster; nothing was stored. */
    public data class Conflict(val current: Long, override val message: String) : ChangeFailure {
        override val remedy: String = "Read version $current, decide again, and repeat the change against it."
    }

    /** Nothing was stored, as the table service gave no answer before anything was sent. */
    public data class Unavailable(override val message: String) : ChangeFailure {
        override val remedy: String =
            "Nothing was changed; repeat it when the table service answers. To shut out a caller now, stop its " +
                "traffic at the platform's balancer."
    }

    /** The change may or may not be stored as [version]. */
    public data class OutcomeUnknown(val version: Long, val operation: OperationId) : ChangeFailure {
        override val message: String = "No answer says whether the change was stored as version $version."
        override val remedy: String =
            "When the table service answers again, compare the operation of version $version " +
                "(`ctl status --version $version`) with $operation: the same means stored, another or none means not."
    }
}
