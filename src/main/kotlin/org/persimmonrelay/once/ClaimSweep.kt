package org.persimmonrelay.once

import kotlinx.coroutines.delay
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
import kotlin.time.Duration.Companion.milliseconds

/**
 * Removes claims that are older than the retention, page by page over all claims.
 *
 * Run by the node that holds the lease of the sweep duty. Two sweeps at the same time are harmless, since each removal
 * is conditional on the row's version. Ages are in whole hours of wall-clock time, and one hour is added to the
 * retention so that clocks that differ by minutes remove nothing early.
 */
public class ClaimSweep(
    private val table: ReliableTable,
    private val clock: Clock,
    private val newOperation: () -> OperationId,
    private val events: EventSink = EventSink.NONE,
    private val settings: IdempotencySettings = IdempotencySettings(),
) {
    /** Sweeps all claims once; stops early when [mayContinue] is false or a read fails. Returns the removed rows. */
    public suspend fun pass(mayContinue: () -> Boolean): Int {
        var after: String? = null
        var removed = 0
        do {
            val page = table.scan(ClaimRow.PREFIX, after, settings.sweepPageSize).getOrNull().orEmpty()
            removed += remove(page.filter(::isExpired))
            after = page.lastOrNull()?.key
            delay(settings.sweepPause)
        } while (page.size == settings.sweepPageSize && mayContinue())
        if (removed > 0) events.record(OnceEvent.EXPIRED_CLAIMS_REMOVED, "rows" with removed)
        return removed
    }

    private suspend fun remove(expired: List<Row>): Int {
        if (expired.isEmpty()) return 0
        val transaction = Transaction(
            operation = newOperation(),
            conditions = expired.map { Condition.VersionIs(it.key, it.version) },
            writes = expired.map { Write.Delete(it.key) },
        )
        return if (table.commit(transaction) is CommitOutcome.Committed) expired.size else 0
    }

    private fun isExpired(row: Row): Boolean {
        val presentHour = clock.wallMillis().milliseconds.inWholeHours
        return presentHour - ClaimRow.decode(row.value).claimedHour > settings.retention.inWholeHours + 1
    }
}
