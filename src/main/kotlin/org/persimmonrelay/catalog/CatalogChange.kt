package org.persimmonrelay.catalog

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.OperationId

/** A change of one object. */
@Serializable
public sealed interface CatalogChange {
    public val ref: ObjectRef

    /** Creates [value], or replaces the object of the same kind and name. */
    @Serializable
    @SerialName("put")
    public data class Put(val value: CatalogObject) : CatalogChange {
        override val ref: ObjectRef
            get() = value.ref
    }

    /** Deletes the object with [ref]. */
    @Serializable
    @SerialName("delete")
    public data class Delete(override val ref: ObjectRef) : CatalogChange
}

/** All changes of one configuration version, written by [operation]. Its row in the table is immutable. */
@Serializable
public data class Delta(val version: Long, val operation: OperationId, val changes: List<CatalogChange>)

/** The value of the head row: the newest version and the operation that wrote it. */
@Serializable
public data class Head(val version: Long, val operation: OperationId)

/** An object and the version that wrote it last. */
@Serializable
public data class StoredObject(val version: Long, val value: CatalogObject)

/** The complete configuration at [version]. */
@Serializable
public data class Snapshot(val version: Long, val objects: List<StoredObject>)
