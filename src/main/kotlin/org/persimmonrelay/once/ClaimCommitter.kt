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
 * Group commit of claims: claims that arrive within a few milliseconds are stored in one transaction.
 *
 * A conflict names the existing rows. Their claims are completed as taken and the others are committed again at once,
 * so that one used key does not fail the rest of the batch.
 */
internal class ClaimCommitter(
    private val table: ReliableTable,
    private val settings: IdempotencySettings,
    private val newOperation: () -> OperationId,
) {
    private val queue = Channel<PendingClaim>(settings.maxQueuedClaims)

    /** Starts the loop that commits the queued claims; to be called once. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            for (first in queue) {
                val (replacing, fresh) = nextBatch(first).partition { it.replacedVersion != null }
                commitBatch(fresh)
                replacing.forEach { commitBatch(listOf(it)) }
            }
        }
    }

    /** Stores [row] under [key]; [replacedVersion] is that of a released claim to replace, null for a new key. */
    suspend fun claim(key: String, row: ClaimRow, replacedVersion: Long?): ClaimResult {
        val pending = PendingClaim(key, row, replacedVersion)
        val queued = queue.trySend(pending).isSuccess
        if (!queued) return ClaimResult.NotStored("Too many claims wait for the store.", settings.repeatAfter)
        return pending.result.await()
    }

    private suspend fun nextBatch(first: PendingClaim): List<PendingClaim> {
        delay(settings.batchWindow)
        val batch = mutableListOf(first)
        while (batch.size < settings.maxBatch) {
            batch += queue.tryReceive().getOrNull() ?: break
        }
        return batch
    }

    private suspend fun commitBatch(batch: List<PendingClaim>) {
        var rest = batch
        while (rest.isNotEmpty()) {
            rest = when (val outcome = table.commit(transaction(rest))) {
                is CommitOutcome.Committed -> finish(rest) { ClaimResult.Won((it.replacedVersion ?: 0) + 1) }
                is CommitOutcome.NotSent -> finish(rest) { ClaimResult.NotStored(outcome.message, outcome.retryAfter) }
                is CommitOutcome.Unknown -> finish(rest) { ClaimResult.Unknown(outcome.message) }
                is CommitOutcome.Conflict -> withoutConflicting(rest, outcome.current.associateBy { it.key })
            }
        }
    }

    private fun transaction(batch: List<PendingClaim>) = Transaction(
        operation = newOperation(),
        conditions = batch.map(PendingClaim::condition),
        writes = batch.map { Write.Put(it.key, it.row.encode()) },
    )

    private fun withoutConflicting(batch: List<PendingClaim>, rows: Map<String, Row>): List<PendingClaim> {
        val (taken, free) = batch.partition { it.replacedVersion != null || it.key in rows }
        taken.forEach { it.result.complete(lostTo(rows[it.key])) }
        if (taken.isEmpty()) finish(free) { ClaimResult.Unknown("The store named no row in the way.") }
        return if (taken.isEmpty()) emptyList() else free
    }

    private fun lostTo(row: Row?): ClaimResult {
        if (row == null) return ClaimResult.NotStored("The claim expired meanwhile.", settings.repeatAfter)
        return ClaimResult.Taken(ClaimRow.decode(row.value), row.version)
    }

    private fun finish(batch: List<PendingClaim>, result: (PendingClaim) -> ClaimResult): List<PendingClaim> {
        batch.forEach { it.result.complete(result(it)) }
        return emptyList()
    }

    private class PendingClaim(val key: String, val row: ClaimRow, val replacedVersion: Long?) {
        val result = CompletableDeferred<ClaimResult>()

        val condition: Condition
            get() = if (replacedVersion == null) Condition.Absent(key) else Condition.VersionIs(key, replacedVersion)
    }
}
