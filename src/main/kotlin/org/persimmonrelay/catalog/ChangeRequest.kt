package org.persimmonrelay.catalog

import arrow.core.Either
import arrow.core.right
import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.OperationId

/** The version that must have written the object last; null means that the object must not exist. */
@Serializable
public data class ExpectedVersion(val ref: ObjectRef, val version: Long?)

/** Computes changes from the newest configuration; called again when another change was stored first. */
public fun interface CatalogEdit {
    public fun changes(view: DefaultCatalogView): Either<ChangeFailure, List<CatalogChange>>
}

/**
 * An operator's request to change objects atomically.
 *
 * If [headVersion] is set, the configuration must be at that version. The objects in [expected] must have the given
 * versions. A [dryRun] validates the request and stores nothing.
 */
public data class ChangeRequest(
    val edit: CatalogEdit,
    val headVersion: Long? = null,
    val expected: List<ExpectedVersion> = emptyList(),
    val dryRun: Boolean = false,
) {
    public companion object {
        /** A request for [changes] that do not depend on the configuration. */
        public fun of(vararg changes: CatalogChange): ChangeRequest = ChangeRequest({ changes.toList().right() })
    }
}

/** The result of a valid request. */
public sealed interface CatalogChangeResult {
    /** The version that has the requested changes. */
    public val version: Long

    /** The changes were stored as [version] by [operation]. */
    public data class Stored(override val version: Long, val operation: OperationId, val delta: Delta) :
        CatalogChangeResult

    /** The configuration at [version] already matches the request; nothing was stored. */
    public data class Unchanged(override val version: Long) : CatalogChangeResult

    /** The changes that would be stored as [version] if this were not a dry run. */
    public data class Checked(override val version: Long, val changes: List<CatalogChange>) : CatalogChangeResult
}
