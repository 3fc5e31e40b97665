package org.persimmonrelay.usage

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
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
import org.persimmonrelay.timeline.with

/**
 * Counts usage on one node and stores it as segments.
 *
 * A segment that can't be stored is kept and sent again, unchanged, before the next. What a killed node had
 * counted since its last flush is lost to billing, at most [UsageSettings.flushEvery] of it.
 */
public class UsageRecorder(
    private val table: ReliableTable,
    private val clock: Clock,
    private val incarnation: Incarnation,
    private val events: EventSink = EventSink.NONE,
    private val settings: UsageSettings = UsageSettings(),
) : UsageMeter {
    private val accumulator = UsageAccumulator()
    private val keys = UsageKeys(UsageKeys.shardOf(incarnation, settings.shards))
    private val waiting = ArrayDeque<Segment>()
    private val flushing = Mutex()
    private var sequence = 0L
    private var writerVersion = 0L
    private var countedThrough = 0L

    override fun record(workspace: WorkspaceId, promptTokens: Long, outputTokens: Long) {
        accumulator.record(windowOf(clock.wallMillis()), workspace, promptTokens, outputTokens)
    }

    /** Flushes every now and then until [scope] ends. */
    public fun start(scope: CoroutineScope) {
        scope.launch {
            while (true) {
                delay(settings.flushEvery)
                if (!flush()) events.record(UsageEvent.SEGMENT_LATE, "segments" with waiting.size)
            }
        }
    }

    /** Stores everything counted so far; false when the store did not take all of it. A leaving node calls it last. */
    public suspend fun flush(): Boolean = flushing.withLock {
        val now = clock.wallMillis()
        cutSegments()
        while (waiting.isNotEmpty()) {
            val isLast = waiting.size == 1
            if (!store(waiting.first(), if (isLast) now else countedThrough)) return@withLock false
            waiting.removeFirst()
        }
        countedThrough >= windowOf(now) || tellNothingCounted(now)
    }

    /** What was counted since the last cut becomes a segment for each window that it began in. */
    private fun cutSegments() {
        accumulator.drain().forEach { (start, usage) ->
            if (mergeIntoLast(start, usage)) return@forEach
            sequence++
            waiting += Segment(incarnation, sequence, start, usage)
        }
    }

    /** Keeps memory flat during an outage. The first waiting segment may have been sent and must not change. */
    private fun mergeIntoLast(start: Long, usage: List<WorkspaceUsage>): Boolean {
        if (waiting.size < 2 || waiting.last().windowStart != start) return false
        val last = waiting.removeLast()
        val merged = (last.usage + usage).groupBy { it.workspace }.values.map { it.reduce(::sum) }
        waiting += last.copy(usage = merged)
        return true
    }

    private suspend fun store(segment: Segment, through: Long): Boolean {
        val operation = OperationId("usage-${incarnation.value}-${segment.sequence}")
        return write(operation, through, Write.Put(keys.segment(segment), segment.encode()))
    }

    /** Whoever closes a window then need not wait for this node. */
    private suspend fun tellNothingCounted(through: Long): Boolean =
        write(OperationId("usage-${incarnation.value}-none-$through"), through)

    private suspend fun write(operation: OperationId, through: Long, vararg more: Write): Boolean {
        val writer = keys.writer(incarnation)
        val condition =
            if (writerVersion == 0L) Condition.Absent(writer) else Condition.VersionIs(writer, writerVersion)
        val row = WriterRow(sequence, through)
        val transaction = Transaction(operation, listOf(condition), listOf(Write.Put(writer, row.encode())) + more)
        val stored = when (val outcome = table.commit(transaction)) {
            is CommitOutcome.Committed -> true
            is CommitOutcome.Conflict -> outcome.current.any { it.operation == transaction.operation }
            is CommitOutcome.NotSent, is CommitOutcome.Unknown -> false
        }
        if (!stored) return false
        writerVersion++
        countedThrough = through
        return true
    }

    private fun windowOf(wallMillis: Long): Long =
        wallMillis - Math.floorMod(wallMillis, settings.window.inWholeMilliseconds)
}
