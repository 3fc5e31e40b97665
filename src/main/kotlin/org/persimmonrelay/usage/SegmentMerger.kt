package org.persimmonrelay.usage

import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.lease.Duty
import org.persimmonrelay.lease.HeldLease
import org.persimmonrelay.lease.LeaseKeys
import org.persimmonrelay.platform.CommitOutcome
import org.persimmonrelay.platform.Condition
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.platform.Transaction
import org.persimmonrelay.platform.Write

/** Joins segments of one window, [most] at a time, where there are more than one transaction can consume. */
internal class SegmentMerger(
    private val table: ReliableTable,
    private val duty: Duty,
    private val keys: UsageKeys,
    private val most: Int,
    private val newOperation: () -> OperationId,
) {
    /** Joins what is too many in [segments]; true when some were joined, so that they have to be read again. */
    suspend fun merge(heldLease: HeldLease, segments: List<StoredSegment>): Boolean {
        val groups = segments.groupBy { it.segment.windowStart }.values
            .filter { it.size > most }
            .flatMap { it.chunked(most) }
            .filter { it.size > 1 }
        return groups.map { join(heldLease, it) }.any { it }
    }

    private suspend fun join(heldLease: HeldLease, parts: List<StoredSegment>): Boolean {
        val operation = newOperation()
        val usage = parts.flatMap { it.segment.usage }.groupBy { it.workspace }.toSortedMap().values
            .map { it.reduce(::sum) }
        val joined = Segment(Incarnation("joined-${operation.value}"), 1, parts.first().segment.windowStart, usage)
        val transaction = Transaction(
            operation = operation,
            conditions = listOf(LeaseKeys.stillHeld(duty, heldLease.epoch)) +
                parts.map { Condition.VersionIs(it.key, it.version) },
            writes = listOf(Write.Put(keys.segment(joined), joined.encode())) + parts.map { Write.Delete(it.key) },
        )
        return table.commit(transaction) is CommitOutcome.Committed
    }
}
