/*
 * The platform's transactional table service, as the system uses it: rows under string keys, a version
 * per row that grows by one at each write, transactions with conditions over several rows, ordered scans
 * by key prefix. Every call can fail, be slow, or lose its answer after the write took effect.
 */
package org.persimmonrelay.platform

import arrow.core.Either
import org.persimmonrelay.identity.OperationId

/** A stored row. [operation] is the id of the transaction that wrote it last. */
public data class Row(val key: String, val version: Long, val value: String, val operation: OperationId)

/** What must hold for a transaction to take effect. */
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

/** All of [writes] take effect together, when all of [conditions] hold, or none does. */
public data class Transaction(val operation: OperationId, val conditions: List<Condition>, val writes: List<Write>)

/** A transaction's definite answer. */
public sealed interface CommitResult {
    /** All writes took effect. */
    public data object Committed : CommitResult

    /** A condition did not hold; nothing was written. [current] has the rows of the failed conditions that exist. */
    public data class Conflict(val current: List<Row>) : CommitResult
}

/** The call gave no answer. A commit may or may not have taken effect. */
public data class StoreUnavailable(val message: String)

/** The table service. Implementations are thread-safe. */
public interface TableService {
    /** Reads several rows at one point in time; absent rows are left out. Counts as one read per key. */
    public suspend fun read(keys: List<String>): Either<StoreUnavailable, List<Row>>

    /** Rows whose key starts with [prefix] and is greater than [after], in key order, at most [limit]. */
    public suspend fun scan(
        prefix: String,
        after: String? = null,
        limit: Int = DEFAULT_SCAN_LIMIT,
    ): Either<StoreUnavailable, List<Row>>

    /** Applies [transaction]. */
    public suspend fun commit(transaction: Transaction): Either<StoreUnavailable, CommitResult>

    public companion object {
        /** Rows in one answer to a scan unless the caller says otherwise. */
        public const val DEFAULT_SCAN_LIMIT: Int = 1000
    }
}
