package org.persimmonrelay.catalog

import arrow.core.Either
import arrow.core.left
import org.persimmonrelay.platform.CommitResult
import org.persimmonrelay.platform.StoreUnavailable
import org.persimmonrelay.platform.TableService
import org.persimmonrelay.platform.Transaction

/** Loses the answers of the next [lost] commits after they took effect; reads go through. */
class LosingTable(private val table: TableService, private var lost: Int) : TableService by table {
    var commits = 0
        private set

    override suspend fun commit(transaction: Transaction): Either<StoreUnavailable, CommitResult> {
        commits++
        val answer = table.commit(transaction)
        if (lost == 0) return answer
        lost--
        return StoreUnavailable("The answer was lost.").left()
    }
}
