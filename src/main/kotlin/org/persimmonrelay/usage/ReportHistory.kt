package org.persimmonrelay.usage

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.lease.HeldLease
import org.persimmonrelay.lease.LeaseKeys
import org.persimmonrelay.platform.CommitOutcome
import org.persimmonrelay.platform.Condition
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.platform.Row
import org.persimmonrelay.platform.Transaction
import org.persimmonrelay.platform.Write
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with

/**
 * Tells which windows may have been reported although the table has no row of them.
 *
 * A table that was restored from an older copy has lost the rows of windows that were closed since. A report can't be
 * taken back, so that such a window must not be reported again. The first holder of the lease after a restore stores up
 * to when windows are in doubt: up to the present, or up to the last window that it has tried to close itself, if it
 * has held the lease since the copy was made.
 */
internal class ReportHistory(
    private val table: ReliableTable,
    private val keys: UsageKeys,
    private val newOperation: () -> OperationId,
    private val events: EventSink,
) {
    private var known: RestoreRow? = null
    private var closed: ClosedWindows? = null

    /**
     * [throughMillis] is the end of the last window that this process has tried to close since it [acquiredAt] a lease.
     */
    private data class ClosedWindows(val restores: Long, val acquiredAt: Moment, val throughMillis: Long)

    /** This process is about to close the window that ends at [endMillis], in milliseconds since the Unix epoch. */
    fun closing(heldLease: HeldLease, endMillis: Long) {
        val before = closed?.takeIf { it.restores == heldLease.restores && it.acquiredAt == heldLease.acquiredAt }
        closed = ClosedWindows(heldLease.restores, heldLease.acquiredAt, maxOf(endMillis, before?.throughMillis ?: 0))
    }

    /**
     * Windows that ended by the result, in milliseconds since the Unix epoch, may have been reported. Null when that
     * can't be read or stored at [nowMillis].
     */
    suspend fun inDoubtThrough(heldLease: HeldLease, nowMillis: Long): Long? {
        if (heldLease.restores == 0L) return 0
        known?.takeIf { it.restores == heldLease.restores }?.let { return it.throughMillis }
        val row = table.read(listOf(keys.restore)).fold({ return null }, { it.firstOrNull() })
        val stored = row?.let { RestoreRow.decode(it.value) }
        val current =
            stored?.takeIf { it.restores == heldLease.restores } ?: store(heldLease, row, nowMillis) ?: return null
        known = current
        return current.throughMillis
    }

    private suspend fun store(heldLease: HeldLease, row: Row?, nowMillis: Long): RestoreRow? {
        val current = RestoreRow(heldLease.restores, lastInDoubt(heldLease, nowMillis))
        val condition = row?.let { Condition.VersionIs(it.key, it.version) } ?: Condition.Absent(keys.restore)
        val transaction = Transaction(
            operation = newOperation(),
            conditions = listOf(LeaseKeys.stillHeld(heldLease), condition),
            writes = listOf(Write.Put(keys.restore, current.encode())),
        )
        if (table.commit(transaction, heldLease.restores) !is CommitOutcome.Committed) return null
        events.record(
            UsageEvent.WINDOWS_IN_DOUBT,
            "restores" with current.restores,
            "throughMillis" with current.throughMillis,
        )
        return current
    }

    /**
     * A lease that goes on after the restore was acquired before the copy was made; no other node has closed windows
     * since.
     */
    private fun lastInDoubt(heldLease: HeldLease, nowMillis: Long): Long {
        val own = closed?.takeIf { it.restores == heldLease.restores - 1 && it.acquiredAt == heldLease.acquiredAt }
        return own?.throughMillis ?: nowMillis
    }
}
