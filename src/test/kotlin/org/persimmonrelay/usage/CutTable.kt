package org.persimmonrelay.usage

import arrow.core.Either
import arrow.core.left
import org.persimmonrelay.platform.CommitResult
import org.persimmonrelay.platform.Row
import org.persimmonrelay.platform.StoreUnavailable
import org.persimmonrelay.platform.TableService
import org.persimmonrelay.platform.Transaction

/** [table] as seen by one node, which can't reach it while it [isCut]. */
class CutTable(private val table: TableService) : TableService {
    var isCut = false

    override suspend fun read(keys: List<String>): Either<StoreUnavailable, List<Row>> =
        if (isCut) UNREACHABLE else table.read(keys)

    override suspend fun scan(prefix: String, after: String?, limit: Int): Either<StoreUnavailable, List<Row>> =
        if (isCut) UNREACHABLE else table.scan(prefix, after, limit)

    override suspend fun commit(transaction: Transaction): Either<StoreUnavailable, CommitResult> =
        if (isCut) UNREACHABLE else table.commit(transaction)

    private companion object {
        val UNREACHABLE = StoreUnavailable("No connection.").left()
    }
}
