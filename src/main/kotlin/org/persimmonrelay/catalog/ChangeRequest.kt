package org.persimmonrelay.catalog

import arrow.core.Either
import arrow.core.right
import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.OperationId

/** The version that an object must have been written by; null means that it must not exist. */
@Serializable
public data class ExpectedVersion(val ref: ObjectRef, val version: Long?)

/** Works out what to write from the newest configuration; called again when another change came first. */
public fun interface CatalogEdit {
    public fun changes(view: DefaultCatalogView): Either<ChangeFailure, List<CatalogChange>>
}

/**
 * A change as an operator wants it: all of it or nothing.
 *
 * With [headVersion] the configuration must still be at that version, with [expected] only these objects must be
 * unchanged. A [dryRun] checks everything and stores nothing.
 */
public data class ChangeRequest(
    val edit: CatalogEdit,
    val headVersion: Long? = null,
    val expected: List<ExpectedVersion> = emptyList(),
    val dryRun: Boolean = false,
) {
    public companion object {
        /** A request for fixed [changes]. */
        public fun of(vararg changes: CatalogChange): ChangeRequest = ChangeRequest({ changes.toList().right() })
    }
}

/** A change that was accepted, or would be in a dry run. */
public sealed interface CatalogChangeResult {
    /** The version at which the configuration is as wanted. */
    public val version: Long

    /** Stored as [version] by [operation]. */
    public data class Stored(override val version: Long, val operation: OperationId, val delta: Delta) :
        CatalogChangeResult

    /** Nothing to do: the configuration is so already. */
    public data class Unchanged(override val version: Long) : CatalogChangeResult

    /** What a dry run would write as [version]. */
    public data class Checked(override val version: Long, val changes: List<CatalogChange>) : CatalogChangeResult
}
