package org.persimmonrelay.catalog

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.OperationId

/** One object written or removed. */
@Serializable
public sealed interface CatalogChange {
    public val ref: ObjectRef

    /** Creates or replaces [value]. */
    @Serializable
    @SerialName("put")
    public data class Put(val value: CatalogObject) : CatalogChange {
        override val ref: ObjectRef
            get() = value.ref
    }

    /** Removes the object that [ref] names. */
    @Serializable
    @SerialName("delete")
    public data class Delete(override val ref: ObjectRef) : CatalogChange
}

/** All that one configuration version changed, written by [operation]. Its row in the table never changes. */
@Serializable
public data class Delta(val version: Long, val operation: OperationId, val changes: List<CatalogChange>)

/** The newest version and the operation that made it; the value of the head row. */
@Serializable
public data class Head(val version: Long, val operation: OperationId)

/** An object and the version that wrote it last. */
@Serializable
public data class StoredObject(val version: Long, val value: CatalogObject)

/** The whole configuration at [version]. */
@Serializable
public data class Snapshot(val version: Long, val objects: List<StoredObject>)
