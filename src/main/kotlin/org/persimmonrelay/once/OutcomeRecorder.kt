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

/** Writes how a claimed call ended into its row, and goes on trying while the store is down. */
internal class OutcomeRecorder(
    private val table: ReliableTable,
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val settings: IdempotencySettings,
    private val newOperation: () -> OperationId,
    private val events: EventSink,
) {
    /** Replaces the claim under [key] by [row] and then calls [done]; [version] is the claim's, null if unknown. */
    fun record(key: String, row: ClaimRow, version: Long?, done: () -> Unit): Job {
        val giveUpAt = clock.now() + settings.retention / 2
        return scope.launch {
            var attempts = 1
            while (!tryRecord(key, row, version) && clock.now() < giveUpAt) {
                attempts++
                delay(settings.retryOutcomeAfter)
            }
            if (attempts > 1) events.record(OnceEvent.OUTCOME_RECORDED_LATE, "attempts" with attempts)
            done()
        }
    }

    /** True when nothing is left to do: written, written before, or the row is no longer this claim's. */
    private suspend fun tryRecord(key: String, row: ClaimRow, version: Long?): Boolean {
        val present = if (version == null) readBack(key) ?: return false else ReadBack(null, version)
        if (present.row != null && !mayReplace(present.row, row)) return true
        val condition =
            if (present.version == 0L) Condition.Absent(key) else Condition.VersionIs(key, present.version)
        val put = Write.Put(key, row.encode())
        return when (val outcome = table.commit(Transaction(newOperation(), listOf(condition), listOf(put)))) {
            is CommitOutcome.Committed -> true
            is CommitOutcome.NotSent -> false
            is CommitOutcome.Conflict -> outcome.current.none { isOwnOpenClaim(it, row) }
            is CommitOutcome.Unknown -> false
        }
    }

    private suspend fun readBack(key: String): ReadBack? =
        table.read(listOf(key)).getOrNull()?.let { ReadBack(it.firstOrNull(), it.firstOrNull()?.version ?: 0) }

    /** A released row is written again, so that an own claim that is still under way conflicts with it. */
    private fun mayReplace(present: Row, own: ClaimRow): Boolean =
        isOwnOpenClaim(present, own) || ClaimRow.decode(present.value).state == ClaimState.RELEASED

    private fun isOwnOpenClaim(present: Row, own: ClaimRow): Boolean {
        val stored = ClaimRow.decode(present.value)
        return stored.claim == own.claim && stored.state == ClaimState.CLAIMED
    }

    private data class ReadBack(val row: Row?, val version: Long)
}
