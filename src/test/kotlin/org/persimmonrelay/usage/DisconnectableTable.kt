package org.persimmonrelay.usage

import arrow.core.Either
import arrow.core.left
import org.persimmonrelay.platform.CommitResult
import org.persimmonrelay.platform.Row
import org.persimmonrelay.platform.StoreUnavailable
import org.persimmonrelay.platform.TableService
import org.persimmonrelay.platform.Transaction

/** [table] as reached by one node; all its calls fail while it [isDisconnected]. */
class DisconnectableTable(private val table: TableService) : TableService {
    var isDisconnected = false

    override val restores: Long get() = table.restores

    override suspend fun read(keys: List<String>): Either<StoreUnavailable, List<Row>> =
        if (isDisconnected) UNREACHABLE else table.read(keys)

    override suspend fun scan(prefix: String, after: String?, limit: Int): Either<StoreUnavailable, List<Row>> =
        if (isDisconnected) UNREACHABLE else table.scan(prefix, after, limit)

    override suspend fun commit(transaction: Transaction): Either<StoreUnavailable, CommitResult> =
        if (isDisconnected) UNREACHABLE else table.commit(transaction)

    private companion object {
        val UNREACHABLE = StoreUnavailable("No connection.").left()
    }
}
