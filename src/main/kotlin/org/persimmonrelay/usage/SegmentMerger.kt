package org.persimmonrelay.usage

import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.lease.HeldLease
import org.persimmonrelay.lease.LeaseKeys
import org.persimmonrelay.platform.CommitOutcome
import org.persimmonrelay.platform.Condition
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.platform.Transaction
import org.persimmonrelay.platform.Write

/** Merges segments of a window, up to [maxSegments] into one, if it has more than a transaction can consume. */
internal class SegmentMerger(
    private val table: ReliableTable,
    private val keys: UsageKeys,
    private val maxSegments: Int,
    private val newOperation: () -> OperationId,
) {
    /** Merges [segments] of windows that have too many; true when some were merged and have to be read again. */
    suspend fun merge(heldLease: HeldLease, segments: List<StoredSegment>): Boolean {
        val groups = segments.groupBy { it.segment.windowStart }.values
            .filter { it.size > maxSegments }
            .flatMap { it.chunked(maxSegments) }
            .filter { it.size > 1 }
        return groups.map { mergeGroup(heldLease, it) }.any { it }
    }

    private suspend fun mergeGroup(heldLease: HeldLease, segments: List<StoredSegment>): Boolean {
        val operation = newOperation()
        val usage = segments.flatMap { it.segment.usage }.groupBy { it.workspace }.toSortedMap().values
            .map { it.reduce(::sum) }
        val merged = Segment(Incarnation("joined-${operation.value}"), 1, segments.first().segment.windowStart, usage)
        val transaction = Transaction(
            operation = operation,
            conditions = listOf(LeaseKeys.stillHeld(heldLease)) +
                segments.map { Condition.VersionIs(it.key, it.version) },
            writes = listOf(Write.Put(keys.segment(merged), merged.encode())) + segments.map { Write.Delete(it.key) },
        )
        return table.commit(transaction, heldLease.restores) is CommitOutcome.Committed
    }
}
