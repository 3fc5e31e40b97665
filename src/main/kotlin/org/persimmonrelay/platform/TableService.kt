/*
 * The platform's transactional table service, as far as this system uses it: rows under string keys, a version
 * per row that grows by one at each write, transactions with conditions on several rows, and ordered scans
 * by key prefix. Every call can fail, be slow, or lose its response after the write took effect.
 */
package org.persimmonrelay.platform

import arrow.core.Either
import org.persimmonrelay.identity.OperationId

/** A stored row. [operation] is the id of the transaction that wrote it last. */
public data class Row(val key: String, val version: Long, val value: String, val operation: OperationId)

/** A condition that must hold for a transaction to take effect. */
public sealed interface Condition {
    public val key: String

    /** The row exists at exactly [version]. */
    public data class VersionIs(override val key: String, val version: Long) : Condition

    /** No row exists under [key]. */
    public data class Absent(override val key: String) : Condition
}

/** One change within a transaction. */
public sealed interface Write {
    public val key: String

    /** Creates or replaces the row. */
    public data class Put(override val key: String, val value: String) : Write

    /** Removes the row; no effect when it is absent. */
    public data class Delete(override val key: String) : Write
}

/** Applies [writes] atomically if all of [conditions] hold. [operation] is stored with each row written. */
public data class Transaction(val operation: OperationId, val conditions: List<Condition>, val writes: List<Write>)

/** The table service's response to a transaction. */
public sealed interface CommitResult {
    /** All writes took effect. */
    public data object Committed : CommitResult

    /** A condition did not hold; nothing was written. [current] has the existing rows of the failed conditions. */
    public data class Conflict(val current: List<Row>) : CommitResult
}

/** The call failed without a usable response. A write may or may not have taken effect. */
public data class StoreUnavailable(val message: String)

/** The table service. Implementations are thread-safe. */
public interface TableService {
    /**
     * A number that rises when the service is restored from an older copy, as far as responses have told; 0 before the
     * first response, and for a service that is never restored. A restore loses commits that were acknowledged, and
     * versions are assigned again.
     */
    public val restores: Long
        get() = 0

    /** True if a response has told of a restore since [restores] was [before]. */
    public fun wasRestoredSince(before: Long): Boolean = before != 0L && restores != before

    /** Reads several rows as of one point in time; absent rows are left out. Counts as one read per key. */
    public suspend fun read(keys: List<String>): Either<StoreUnavailable, List<Row>>

    /** Rows whose key starts with [prefix] and is greater than [after], in key order, at most [limit]. */
    public suspend fun scan(
        prefix: String,
        after: String? = null,
        limit: Int = DEFAULT_SCAN_LIMIT,
    ): Either<StoreUnavailable, List<Row>>

    /** Applies [transaction]; an error leaves it unknown whether the transaction took effect. */
    public suspend fun commit(transaction: Transaction): Either<StoreUnavailable, CommitResult>

    public companion object {
        /** Default for the maximum number of rows that a scan returns. */
        public const val DEFAULT_SCAN_LIMIT: Int = 1000
    }
}
