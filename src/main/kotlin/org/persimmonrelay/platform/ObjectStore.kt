package org.persimmonrelay.platform

import arrow.core.Either

/** The platform's object store: objects are read and written in full; the last write wins. Thread-safe. */
public interface ObjectStore {
    /** The object's bytes, or null when there is none. */
    public suspend fun get(name: String): Either<StoreUnavailable, ByteArray?>

    public suspend fun put(name: String, bytes: ByteArray): Either<StoreUnavailable, Unit>

    /** Names that start with [prefix], sorted. */
    public suspend fun list(prefix: String): Either<StoreUnavailable, List<String>>

    public suspend fun delete(name: String): Either<StoreUnavailable, Unit>
}
