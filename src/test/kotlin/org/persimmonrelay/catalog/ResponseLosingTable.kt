package org.persimmonrelay.catalog

import arrow.core.Either
import arrow.core.left
import org.persimmonrelay.platform.CommitResult
import org.persimmonrelay.platform.Row
import org.persimmonrelay.platform.StoreUnavailable
import org.persimmonrelay.platform.TableService
import org.persimmonrelay.platform.Transaction

/**
 * Loses the responses to the next [lostResponses] commits after these took effect. With [failsAfterwards] all later
 * reads and commits fail.
 */
class ResponseLosingTable(
    private val table: TableService,
    private var lostResponses: Int,
    private val failsAfterwards: Boolean = false,
) : TableService by table {
    private val isDown: Boolean
        get() = failsAfterwards && lostResponses == 0

    override suspend fun read(keys: List<String>): Either<StoreUnavailable, List<Row>> =
        if (isDown) UNAVAILABLE else table.read(keys)

    override suspend fun commit(transaction: Transaction): Either<StoreUnavailable, CommitResult> {
        if (isDown) return UNAVAILABLE
        val response = table.commit(transaction)
        if (lostResponses == 0) return response
        lostResponses--
        return UNAVAILABLE
    }

    private companion object {
        val UNAVAILABLE = StoreUnavailable("No response.").left()
    }
}
