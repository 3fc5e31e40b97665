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

/** Agrees with the other nodes on the time of day at the store's zero: the first node to write it decides. */
internal class TimeAgreement(
    private val table: ReliableTable,
    private val clock: SharedWallClock,
    private val newOperation: () -> OperationId,
    private val events: EventSink,
) {
    /** Returns once the offset is known. */
    suspend fun run() {
        while (true) {
            val stored = table.read(listOf(KEY)).getOrNull()
            val offset = stored?.firstOrNull()?.value?.toLongOrNull()
            if (offset != null) return adopt(offset)
            if (stored != null) propose()
            delay(RETRY)
        }
    }

    private suspend fun propose() {
        val own = clock.proposedOffset() ?: return
        val write = Write.Put(KEY, own.toString())
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
        val RETRY = 100.milliseconds
    }
}
