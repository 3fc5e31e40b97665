/*
 * JSON messages of the platform's table service over HTTP.
 */
package org.persimmonrelay.platform.http

import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.platform.CommitResult
import org.persimmonrelay.platform.Condition
import org.persimmonrelay.platform.Row
import org.persimmonrelay.platform.Transaction
import org.persimmonrelay.platform.Write

/** Body of `POST /table/read`. */
@Serializable
public data class ReadMessage(val keys: List<String>)

/** Body of `POST /table/scan`. */
@Serializable
public data class ScanMessage(val prefix: String, val after: String? = null, val limit: Int)

/** A [Row] in JSON. */
@Serializable
public data class RowMessage(val key: String, val version: Long, val value: String, val operation: String) {
    public fun toRow(): Row = Row(key, version, value, OperationId(operation))

    public companion object {
        public fun of(row: Row): RowMessage = RowMessage(row.key, row.version, row.value, row.operation.value)
    }
}

/** Response to a read or a scan. */
@Serializable
public data class RowsMessage(val rows: List<RowMessage>)

/** A [Condition] in JSON. A null [version] requires that the row is absent. */
@Serializable
public data class ConditionMessage(val key: String, val version: Long? = null) {
    internal fun toCondition(): Condition =
        if (version == null) Condition.Absent(key) else Condition.VersionIs(key, version)

    internal companion object {
        fun of(condition: Condition): ConditionMessage = when (condition) {
            is Condition.Absent -> ConditionMessage(condition.key)
            is Condition.VersionIs -> ConditionMessage(condition.key, condition.version)
        }
    }
}

/** A [Write] in JSON. A null [value] deletes the row. */
@Serializable
public data class WriteMessage(val key: String, val value: String? = null) {
    internal fun toWrite(): Write = if (value == null) Write.Delete(key) else Write.Put(key, value)

    internal companion object {
        fun of(write: Write): WriteMessage = when (write) {
            is Write.Delete -> WriteMessage(write.key)
            is Write.Put -> WriteMessage(write.key, write.value)
        }
    }
}

/** Body of `POST /table/commit`. */
@Serializable
public data class TransactionMessage(
    val operation: String,
    val conditions: List<ConditionMessage>,
    val writes: List<WriteMessage>,
) {
    public fun toTransaction(): Transaction = Transaction(
        operation = OperationId(operation),
        conditions = conditions.map { it.toCondition() },
        writes = writes.map { it.toWrite() },
    )

    public companion object {
        public fun of(transaction: Transaction): TransactionMessage = TransactionMessage(
            operation = transaction.operation.value,
            conditions = transaction.conditions.map(ConditionMessage::of),
            writes = transaction.writes.map(WriteMessage::of),
        )
    }
}

/** Response to a commit. When not [committed], [current] has the existing rows of the failed conditions. */
@Serializable
public data class CommitMessage(val committed: Boolean, val current: List<RowMessage> = emptyList()) {
    public fun toResult(): CommitResult =
        if (committed) CommitResult.Committed else CommitResult.Conflict(current.map { it.toRow() })

    public companion object {
        public fun of(result: CommitResult): CommitMessage = when (result) {
            CommitResult.Committed -> CommitMessage(committed = true)
            is CommitResult.Conflict -> CommitMessage(
                committed = false,
                current = result.current.map(RowMessage::of),
            )
        }
    }
}
