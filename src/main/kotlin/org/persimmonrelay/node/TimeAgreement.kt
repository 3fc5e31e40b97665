package org.persimmonrelay.node

import kotlinx.coroutines.delay
import org.persimmonrelay.clock.SharedWallClock
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.platform.Condition
import org.persimmonrelay.platform.PlatformEvent
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.platform.Transaction
import org.persimmonrelay.platform.Write
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Agrees with the other nodes on the offset between the store's clock and the time of day. The first node that writes
 * its offset to the store decides. When the store was restored from an older copy and has lost the offset, a node
 * proposes the agreed one again.
 */
internal class TimeAgreement(
    private val table: ReliableTable,
    private val clock: SharedWallClock,
    private val newOperation: () -> OperationId,
    private val events: EventSink,
) {
    private var agreed: Long? = null

    /** Agrees on the offset, and again whenever the store was restored, until cancelled. */
    suspend fun run() {
        while (true) {
            val restores = agree()
            while (!table.wasRestoredSince(restores)) delay(RESTORE_CHECK_INTERVAL)
        }
    }

    /** Retries until the offset is stored, then applies it. Returns the store's number of restores. */
    private suspend fun agree(): Long {
        while (true) {
            val restores = table.restores
            val stored = table.read(listOf(KEY)).getOrNull()
            val offset = stored?.firstOrNull()?.value?.toLongOrNull()
            if (offset != null && !table.wasRestoredSince(restores)) {
                adopt(offset)
                return table.restores
            }
            if (stored != null && offset == null) propose()
            delay(RETRY_DELAY)
        }
    }

    private suspend fun propose() {
        val proposed = agreed ?: clock.proposedOffset() ?: return
        val write = Write.Put(KEY, proposed.toString())
        table.commit(Transaction(newOperation(), listOf(Condition.Absent(KEY)), listOf(write)))
    }

    private fun adopt(offset: Long) {
        if (offset == agreed) return
        agreed = offset
        clock.setAgreedOffset(offset)
        events.record(
            PlatformEvent.TIME_AGREED,
            "offsetMillis" with offset,
            "ownOffsetMillis" with clock.proposedOffset(),
        )
    }

    private companion object {
        const val KEY = "clock/offset"
        val RETRY_DELAY = 100.milliseconds
        val RESTORE_CHECK_INTERVAL = 1.seconds
    }
}
