package org.persimmonrelay.usage

import arrow.core.Either
import arrow.core.left
import org.persimmonrelay.platform.CommitResult
import org.persimmonrelay.platform.Row
import org.persimmonrelay.platform.StoreUnavailable
import org.persimmonrelay.platform.TableService
import org.persimmonrelay.platform.Transaction

/** [table] as one node uses it, which hears of a restore by the response to its next call; that call fails. */
class TableClient(private val table: TableService) : TableService {
    override var restores = 0L
        private set

    override suspend fun read(keys: List<String>): Either<StoreUnavailable, List<Row>> = call { table.read(keys) }

    override suspend fun scan(prefix: String, after: String?, limit: Int): Either<StoreUnavailable, List<Row>> =
        call { table.scan(prefix, after, limit) }

    override suspend fun commit(transaction: Transaction): Either<StoreUnavailable, CommitResult> =
        call { table.commit(transaction) }

    private suspend fun <T> call(send: suspend () -> Either<StoreUnavailable, T>): Either<StoreUnavailable, T> {
        val before = restores
        val result = send()
        if (result.isRight()) restores = table.restores
        return if (wasRestoredSince(before)) StoreUnavailable("The table was restored.").left() else result
    }
}
