package org.persimmonrelay.usage

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.identity.WorkspaceId
import org.persimmonrelay.platform.CommitOutcome
import org.persimmonrelay.platform.Condition
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.platform.Transaction
import org.persimmonrelay.platform.Write
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.launchSupervised
import org.persimmonrelay.timeline.with

/**
 * Counts usage on one node and stores it as segments.
 *
 * The segments of a flush are stored together. When that fails, they stay in memory and are sent again, unchanged,
 * before later ones. Those that were stored lately stay in memory too: when the store was restored from an older copy,
 * the writer row there tells which of them it has lost, and these are stored again. If a node is killed, its counts
 * since the last flush are not billed.
 */
public class UsageRecorder(
    private val table: ReliableTable,
    private val clock: Clock,
    private val incarnation: Incarnation,
    private val events: EventSink = EventSink.NONE,
    private val settings: UsageSettings = UsageSettings(),
    private val flushSchedule: FlushSchedule = FlushSchedule.every(settings.flushEvery),
) : UsageMeter {
    private val accumulator = UsageAccumulator()
    private val keys = UsageKeys(UsageKeys.shardOf(incarnation, settings.shards))
    private val pending = ArrayDeque<List<Segment>>()
    private val recent = RecentSegments()
    private val flushLock = Mutex()
    private var sequence = 0L
    private var writerVersion = 0L
    private var countedThrough = 0L

    /** The table's number of restores for which the writer row is known. */
    private var restores = 0L
    private var lastFailure = ""

    override fun record(workspace: WorkspaceId, promptTokens: Long, outputTokens: Long) {
        accumulator.record(windowStartOf(clock.wallMillis()), workspace, promptTokens, outputTokens)
    }

    /** Flushes by the schedule until [scope] ends. */
    public fun start(scope: CoroutineScope) {
        scope.launchSupervised("usage flush", events) {
            while (true) {
                delay(flushSchedule.timeToNextFlush(clock.wallMillis()))
                if (!flush()) recordLate()
            }
        }
    }

    private fun recordLate() =
        events.record(UsageEvent.SEGMENT_LATE, "segments" with pending.size, "why" with lastFailure)

    /** Stores all counts so far; false when some could not be stored. To be called last before a node stops. */
    public suspend fun flush(): Boolean = flushLock.withLock {
        val now = clock.wallMillis()
        createSegments()
        if (table.wasRestoredSince(restores) && !readWriterRow()) return@withLock false
        restores = table.restores
        while (pending.isNotEmpty()) {
            val isLast = pending.size == 1
            if (!store(pending.first(), if (isLast) now else countedThrough)) return@withLock false
            recent.add(pending.removeFirst(), now)
        }
        countedThrough >= windowStartOf(now) || storeProgress(now)
    }

    /**
     * Makes pending again what the restored store has lost, according to its row of this writer; false if unreadable.
     */
    private suspend fun readWriterRow(): Boolean {
        val readAfter = table.restores
        val rows = table.read(listOf(keys.writer(incarnation))).fold({ return notRead(it.message) }, { it })
        if (table.restores != readAfter) return notRead("The store was restored again.")
        val row = rows.firstOrNull()
        val progress = row?.let { WriterRow.decode(it.value) } ?: WriterRow(sequence = 0, countedThrough = 0)
        val lost = recent.takeAfter(progress.sequence)
        val unstored = lost + pending.filter { it.last().sequence > progress.sequence }
        pending.clear()
        pending += unstored
        writerVersion = row?.version ?: 0
        countedThrough = progress.countedThrough
        events.record(UsageEvent.SEGMENTS_RESTORED, "flushes" with lost.size, "after" with progress.sequence)
        return true
    }

    private fun notRead(reason: String): Boolean {
        lastFailure = reason
        return false
    }

    /** Moves the counts since the last call into pending segments, one per window. */
    private fun createSegments() {
        val counts = accumulator.drain()
        if (counts.isEmpty()) return
        // Bounds memory during an outage. The first pending segments may have been sent and must not change.
        val last = if (pending.size < 2) emptyList() else pending.removeLast()
        pending += counts.fold(last) { segments, (start, usage) -> add(segments, start, usage) }
    }

    private fun add(segments: List<Segment>, start: Long, usage: List<WorkspaceUsage>): List<Segment> {
        val same = segments.find { it.windowStart == start }
            ?: return segments + Segment(incarnation, ++sequence, start, usage)
        val merged = (same.usage + usage).groupBy { it.workspace }.values.map { it.reduce(::sum) }
        return segments.map { if (it === same) it.copy(usage = merged) else it }
    }

    private suspend fun store(segments: List<Segment>, through: Long): Boolean {
        val operation = OperationId("usage-${incarnation.value}-${segments.last().sequence}")
        return write(operation, through, segments.map { Write.Put(keys.segment(it), it.encode()) })
    }

    /** Stores that all counts up to [through] are stored, so that closing a window need not wait for this node. */
    private suspend fun storeProgress(through: Long): Boolean =
        write(OperationId("usage-${incarnation.value}-none-$through"), through, emptyList())

    private suspend fun write(operation: OperationId, through: Long, writes: List<Write>): Boolean {
        val writer = keys.writer(incarnation)
        val condition =
            if (writerVersion == 0L) Condition.Absent(writer) else Condition.VersionIs(writer, writerVersion)
        val row = WriterRow(sequence, through)
        val transaction = Transaction(operation, listOf(condition), listOf(Write.Put(writer, row.encode())) + writes)
        val outcome = table.commit(transaction, restores)
        if (!isStored(transaction, outcome)) return false
        writerVersion++
        countedThrough = through
        return true
    }

    private fun isStored(transaction: Transaction, outcome: CommitOutcome): Boolean {
        if (outcome is CommitOutcome.Committed) return true
        if (outcome is CommitOutcome.Conflict && isOwnWrite(transaction, outcome)) return true
        lastFailure = reason(outcome)
        return false
    }

    private fun isOwnWrite(transaction: Transaction, conflict: CommitOutcome.Conflict): Boolean =
        conflict.current.any { it.operation == transaction.operation }

    private fun reason(outcome: CommitOutcome): String = when (outcome) {
        is CommitOutcome.Committed -> ""
        is CommitOutcome.Conflict ->
            "the writer row has version ${outcome.current.firstOrNull()?.version ?: 0} in place of $writerVersion"
        is CommitOutcome.NotSent -> outcome.message
        is CommitOutcome.Unknown -> outcome.message
    }

    private fun windowStartOf(wallMillis: Long): Long =
        wallMillis - Math.floorMod(wallMillis, settings.window.inWholeMilliseconds)
}
