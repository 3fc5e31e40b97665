package org.persimmonrelay.usage

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.serialization.SerializationException
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.lease.Duty
import org.persimmonrelay.lease.HeldLease
import org.persimmonrelay.lease.LeaseKeys
import org.persimmonrelay.lease.LeaseManager
import org.persimmonrelay.platform.CommitOutcome
import org.persimmonrelay.platform.Condition
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.platform.Row
import org.persimmonrelay.platform.Transaction
import org.persimmonrelay.platform.UsageReports
import org.persimmonrelay.platform.Write
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.launchSupervised
import org.persimmonrelay.timeline.with

/**
 * Closes and reports the usage windows of one shard while this node holds the shard's duty.
 *
 * A window is closed in one transaction that checks the lease, deletes the segments and stores the bytes to be
 * reported. Only stored bytes are sent, and only once no message of an earlier holder can still arrive. After the store
 * was restored from an older copy, windows whose rows may be lost are not reported again.
 */
public class WindowCloser(
    private val table: ReliableTable,
    private val reports: UsageReports,
    private val leases: LeaseManager,
    private val clock: Clock,
    private val shard: Int,
    private val newOperation: () -> OperationId,
    private val events: EventSink = EventSink.NONE,
    private val settings: UsageSettings = UsageSettings(),
) {
    private val duty = Duty.usage(shard)
    private val keys = UsageKeys(shard)
    private val history = ReportHistory(table, keys, newOperation, events)
    private val merger = SegmentMerger(table, keys, settings.maxSegmentsPerWindow, newOperation)

    /** What this node has already done under the lease with [token]; saves reads that can find nothing new. */
    private data class Progress(val token: Long, val closedThrough: Long?, val hasPending: Boolean)

    private val ignoredRows = HashSet<String>()
    private var restores = 0L

    /** When this node noticed that the store was restored, in milliseconds since the Unix epoch; 0 if it never was. */
    private var restoredAt = 0L
    private var progress = Progress(token = 0, closedThrough = null, hasPending = true)

    /** Competes for the duty's lease and closes and reports windows while this node holds it, until [scope] ends. */
    public fun start(scope: CoroutineScope) {
        leases.compete(scope, duty)
        scope.launchSupervised("usage windows", events) {
            while (true) {
                leases.heldLease(duty)?.let { pass(it) }
                delay(settings.closeEvery)
            }
        }
    }

    /** Closes due windows and reports closed ones. */
    internal suspend fun pass(heldLease: HeldLease) {
        startOverIfChanged(heldLease.fencingToken)
        if (mayBeDue(clock.wallMillis())) closeDueWindows(heldLease)
        if (!progress.hasPending) return
        if (heldLease.isExclusive) return reportPending(heldLease)
        events.record(UsageEvent.REPORTS_HELD_BACK, "shard" with shard, "for" with heldLease.unresolved)
    }

    /** What this node knows of the rows holds only for one lease and one restore of the table. */
    private fun startOverIfChanged(token: Long) {
        if (table.wasRestoredSince(restores)) restoredAt = clock.wallMillis()
        restores = table.restores
        if (progress.token != token) progress = Progress(token, null, hasPending = true)
    }

    /** False while the latest window that ended before the grace time was closed by this node. */
    private fun mayBeDue(now: Long): Boolean =
        progress.closedThrough?.let { latestDue(now - settings.grace.inWholeMilliseconds) > it } ?: true

    /** Start of the latest window that ended by [dueBefore]. */
    private fun latestDue(dueBefore: Long): Long = settings.window.inWholeMilliseconds.let {
        dueBefore - Math.floorMod(dueBefore, it) - it
    }

    private suspend fun closeDueWindows(heldLease: HeldLease) {
        val dueBefore = dueBefore(clock.wallMillis()) ?: return
        val read = readSegments() ?: return
        val segments = if (merger.merge(heldLease, read)) readSegments() ?: return else read
        val inDoubtThrough = history.inDoubtThrough(heldLease, clock.wallMillis()) ?: return
        val closed = closedWindows(segments, dueBefore, inDoubtThrough) ?: return
        val plans = planWindows(segments, { it in closed }, dueBefore, settings.window.inWholeMilliseconds)
        val isAllClosed = plans.map { plan ->
            plan.limitedTo(settings.maxSegmentsPerWindow)?.let { close(heldLease, it) } ?: false
        }.all { it }
        val last = plans.lastOrNull()?.windowStart ?: return
        if (isAllClosed) progress = progress.copy(closedThrough = last)
    }

    private suspend fun readSegments(): List<StoredSegment>? =
        table.scan(keys.segments).getOrNull()?.mapNotNull(::decode)

    /** A segment that can't be read must not keep the others from being counted. */
    private fun decode(row: Row): StoredSegment? = try {
        StoredSegment.of(row)
    } catch (e: SerializationException) {
        if (row.key !in ignoredRows) events.record(UsageEvent.SEGMENT_IGNORED, "key" with row.key, "why" with e.message)
        if (ignoredRows.size < MAX_IGNORED_ROWS) ignoredRows += row.key
        null
    }

    /** Windows that ended by the result, in milliseconds since the Unix epoch, are due; null when a read failed. */
    private suspend fun dueBefore(now: Long): Long? {
        val regular = now - settings.grace.inWholeMilliseconds
        if (settings.maxGrace <= settings.grace) return regular
        val writers = table.scan(keys.writers).getOrNull() ?: return null
        val forgetAfter = (settings.maxGrace + settings.window).inWholeMilliseconds
        val rows = writers.map { WriterRow.decode(it.value) }
        val stored = storedThrough(rows, now, forgetAfter, restoredAt) ?: return regular
        return minOf(regular, maxOf(stored, now - settings.maxGrace.inWholeMilliseconds))
    }

    /**
     * Starts of those windows of [segments], and of the latest due one, that are closed or ended by [inDoubtThrough];
     * null when a read failed.
     */
    private suspend fun closedWindows(
        segments: List<StoredSegment>,
        dueBefore: Long,
        inDoubtThrough: Long,
    ): Set<Long>? {
        if (segments.isEmpty()) return emptySet()
        val starts = (segments.map { it.segment.windowStart } + latestDue(dueBefore)).distinct()
        val byKey = starts.associateBy { keys.window(keys.windowName(it)) }
        val rows = table.read(byKey.keys.toList()).getOrNull() ?: return null
        val inDoubt = starts.filter { it + settings.window.inWholeMilliseconds <= inDoubtThrough }
        return rows.mapNotNull { byKey[it.key] }.toSet() + inDoubt
    }

    /** True when the window was closed. */
    private suspend fun close(heldLease: HeldLease, plan: WindowPlan): Boolean {
        history.closing(heldLease, plan.windowStart + settings.window.inWholeMilliseconds)
        val window = keys.windowName(plan.windowStart)
        val body = WindowBody(plan.reports(window, keys::windowName)).encode()
        val row = WindowRow(window, heldLease.fencingToken, body).encode()
        val consumed = plan.segments
        val transaction = Transaction(
            operation = newOperation(),
            conditions = listOf(
                LeaseKeys.stillHeld(heldLease),
                Condition.Absent(keys.window(window)),
            ) + consumed.map { Condition.VersionIs(it.key, it.version) },
            writes = listOf(
                Write.Put(keys.window(window), row),
                Write.Put(keys.pending(window), row),
            ) + consumed.map { Write.Delete(it.key) },
        )
        val closed = table.commit(transaction, heldLease.restores) is CommitOutcome.Committed
        // A commit of unknown outcome may have stored the report as well.
        progress = progress.copy(hasPending = true)
        if (closed) events.record(UsageEvent.WINDOW_CLOSED, "window" with window, "segments" with consumed.size)
        return closed
    }

    private suspend fun reportPending(heldLease: HeldLease) {
        val pending = table.scan(keys.pending).getOrNull() ?: return
        for (row in pending) {
            if (!report(heldLease, row)) return
        }
        progress = progress.copy(hasPending = false)
    }

    private suspend fun report(heldLease: HeldLease, pending: Row): Boolean {
        val window = WindowRow.decode(pending.value)
        val sent = leases.runIfHeld(duty, heldLease.fencingToken) {
            reports.report(window.window, heldLease.fencingToken, window.body).getOrNull()
        }
        if (sent == null) {
            events.record(UsageEvent.REPORT_LATE, "window" with window.window)
            return false
        }
        events.record(UsageEvent.WINDOW_REPORTED, "window" with window.window)
        return deletePending(pending)
    }

    private suspend fun deletePending(pending: Row): Boolean {
        val condition = Condition.VersionIs(pending.key, pending.version)
        val done = Transaction(newOperation(), listOf(condition), listOf(Write.Delete(pending.key)))
        return table.commit(done) !is CommitOutcome.NotSent
    }

    private companion object {
        /** Each ignored row is logged once, as long as there are not more than these. */
        const val MAX_IGNORED_ROWS = 200
    }
}
