package org.persimmonrelay.once

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.platform.CommitOutcome
import org.persimmonrelay.platform.Condition
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.platform.Row
import org.persimmonrelay.platform.Transaction
import org.persimmonrelay.platform.Write
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with

/** Writes the outcome of a claimed call into its row and retries, for half of the retention, while the store fails. */
internal class OutcomeRecorder(
    private val table: ReliableTable,
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val settings: IdempotencySettings,
    private val newOperation: () -> OperationId,
    private val events: EventSink,
) {
    /** Replaces the claim under [key] by [row], then calls [onDone]; [version] is the claim's, null if unknown. */
    fun record(key: String, row: ClaimRow, version: Long?, onDone: () -> Unit): Job {
        val deadline = clock.now() + settings.retention / 2
        return scope.launch {
            var attempts = 1
            while (!tryRecord(key, row, version) && clock.now() < deadline) {
                attempts++
                delay(settings.retryOutcomeAfter)
            }
            if (attempts > 1) events.record(OnceEvent.OUTCOME_RECORDED_LATE, "attempts" with attempts)
            onDone()
        }
    }

    /** True when no retry is needed: the row is written now or before, or belongs to another claim. */
    private suspend fun tryRecord(key: String, row: ClaimRow, version: Long?): Boolean {
        val current = if (version == null) readCurrent(key) ?: return false else CurrentRow(null, version)
        if (current.row != null && !mayReplace(current.row, row)) return true
        val condition =
            if (current.version == 0L) Condition.Absent(key) else Condition.VersionIs(key, current.version)
        val put = Write.Put(key, row.encode())
        return when (val outcome = table.commit(Transaction(newOperation(), listOf(condition), listOf(put)))) {
            is CommitOutcome.Committed -> true
            is CommitOutcome.NotSent -> false
            is CommitOutcome.Conflict -> outcome.current.none { isOwnOpenClaim(it, row) }
            is CommitOutcome.Unknown -> false
        }
    }

    private suspend fun readCurrent(key: String): CurrentRow? =
        table.read(listOf(key)).getOrNull()?.let { CurrentRow(it.firstOrNull(), it.firstOrNull()?.version ?: 0) }

    /** A released row is written again, so that a claim of this call that may still arrive conflicts with it. */
    private fun mayReplace(current: Row, own: ClaimRow): Boolean =
        isOwnOpenClaim(current, own) || ClaimRow.decode(current.value).state == ClaimState.RELEASED

    private fun isOwnOpenClaim(current: Row, own: ClaimRow): Boolean {
        val stored = ClaimRow.decode(current.value)
        return stored.claim == own.claim && stored.state == ClaimState.CLAIMED
    }

    private data class CurrentRow(val row: Row?, val version: Long)
}
