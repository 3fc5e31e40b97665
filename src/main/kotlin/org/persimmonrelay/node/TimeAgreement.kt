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

/**
 * Agrees with the other nodes on the offset between the store's clock and the time of day. The first node that writes
 * its offset to the store decides.
 */
internal class TimeAgreement(
    private val table: ReliableTable,
    private val clock: SharedWallClock,
    private val newOperation: () -> OperationId,
    private val events: EventSink,
) {
    /** Retries until the offset is stored, then applies it and returns. */
    suspend fun run() {
        while (true) {
            val stored = table.read(listOf(KEY)).getOrNull()
            val offset = stored?.firstOrNull()?.value?.toLongOrNull()
            if (offset != null) return adopt(offset)
            if (stored != null) propose()
            delay(RETRY_DELAY)
        }
    }

    private suspend fun propose() {
        val proposed = clock.proposedOffset() ?: return
        val write = Write.Put(KEY, proposed.toString())
        table.commit(Transaction(newOperation(), listOf(Condition.Absent(KEY)), listOf(write)))
    }

    private fun adopt(offset: Long) {
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
    }
}
