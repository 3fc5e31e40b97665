package org.persimmonrelay.once

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.platform.CommitOutcome
import org.persimmonrelay.platform.Condition
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.platform.Row
import org.persimmonrelay.platform.Transaction
import org.persimmonrelay.platform.Write

/**
 * Group commit of claims: what arrives within a few milliseconds goes into one transaction.
 *
 * A conflict names the rows in the way; their claims are taken out as lost and the others are sent again at once,
 * so that one used key does not fail its neighbours.
 */
internal class ClaimCommitter(
    private val table: ReliableTable,
    private val settings: IdempotencySettings,
    private val newOperation: () -> OperationId,
) {
    private val waiting = Channel<Claiming>(settings.maxWaitingClaims)

    /** Starts the one loop that commits. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            for (first in waiting) {
                val (reclaimed, fresh) = gather(first).partition { it.over != null }
                commitBatch(fresh)
                reclaimed.forEach { commitBatch(listOf(it)) }
            }
        }
    }

    /** Stores [row] under [key]; [over] is the version of a released claim to replace, null for a new key. */
    suspend fun claim(key: String, row: ClaimRow, over: Long?): ClaimResult {
        val claiming = Claiming(key, row, over)
        val queued = waiting.trySend(claiming).isSuccess
        if (!queued) return ClaimResult.NotStored("Too many claims wait for the store.", settings.repeatAfter)
        return claiming.result.await()
    }

    private suspend fun gather(first: Claiming): List<Claiming> {
        delay(settings.gatherWindow)
        val batch = mutableListOf(first)
        while (batch.size < settings.maxBatch) {
            batch += waiting.tryReceive().getOrNull() ?: break
        }
        return batch
    }

    private suspend fun commitBatch(batch: List<Claiming>) {
        var left = batch
        while (left.isNotEmpty()) {
            left = when (val outcome = table.commit(transaction(left))) {
                is CommitOutcome.Committed -> finish(left) { ClaimResult.Won((it.over ?: 0) + 1) }
                is CommitOutcome.NotSent -> finish(left) { ClaimResult.NotStored(outcome.message, outcome.retryAfter) }
                is CommitOutcome.Unknown -> finish(left) { ClaimResult.Unknown(outcome.message) }
                is CommitOutcome.Conflict -> withoutTaken(left, outcome.current.associateBy { it.key })
            }
        }
    }

    private fun transaction(batch: List<Claiming>) = Transaction(
        operation = newOperation(),
        conditions = batch.map(Claiming::condition),
        writes = batch.map { Write.Put(it.key, it.row.encode()) },
    )

    private fun withoutTaken(batch: List<Claiming>, rows: Map<String, Row>): List<Claiming> {
        val (taken, free) = batch.partition { it.over != null || it.key in rows }
        taken.forEach { it.result.complete(lost(rows[it.key])) }
        if (taken.isEmpty()) finish(free) { ClaimResult.Unknown("The store named no row in the way.") }
        return if (taken.isEmpty()) emptyList() else free
    }

    private fun lost(row: Row?): ClaimResult {
        if (row == null) return ClaimResult.NotStored("The claim expired meanwhile.", settings.repeatAfter)
        return ClaimResult.Taken(ClaimRow.decode(row.value), row.version)
    }

    private fun finish(batch: List<Claiming>, result: (Claiming) -> ClaimResult): List<Claiming> {
        batch.forEach { it.result.complete(result(it)) }
        return emptyList()
    }

    private class Claiming(val key: String, val row: ClaimRow, val over: Long?) {
        val result = CompletableDeferred<ClaimResult>()

        val condition: Condition
            get() = if (over == null) Condition.Absent(key) else Condition.VersionIs(key, over)
    }
}
