package org.persimmonrelay.catalog

import arrow.core.Either
import arrow.core.left
import org.persimmonrelay.platform.CommitResult
import org.persimmonrelay.platform.Row
import org.persimmonrelay.platform.StoreUnavailable
import org.persimmonrelay.platform.TableService
import org.persimmonrelay.platform.Transaction

/** Loses the answers of the next [lost] commits after they took effect, and is [downAfterwards] if so wanted. */
class LosingTable(private val table: TableService, private var lost: Int, private val downAfterwards: Boolean = false) :
    TableService by table {
    private val isDown: Boolean
        get() = downAfterwards && lost == 0

    override suspend fun read(keys: List<String>): Either<StoreUnavailable, List<Row>> =
        if (isDown) UNAVAILABLE else table.read(keys)

    override suspend fun commit(transaction: Transaction): Either<StoreUnavailable, CommitResult> {
        if (isDown) return UNAVAILABLE
        val answer = table.commit(transaction)
        if (lost == 0) return answer
        lost--
        return UNAVAILABLE
    }

    private companion object {
        val UNAVAILABLE = StoreUnavailable("No answer.").left()
    }
}
