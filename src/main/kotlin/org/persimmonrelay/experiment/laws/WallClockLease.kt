package org.persimmonrelay.experiment.laws

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.platform.CommitResult
import org.persimmonrelay.platform.Condition
import org.persimmonrelay.platform.TableService
import org.persimmonrelay.platform.Transaction
import org.persimmonrelay.platform.Write
import kotlin.time.Duration.Companion.seconds

/**
 * The naive lease for comparison: a row with the holder and a wall-clock moment of expiry, taken over by whoever
 * reads an expired one, and believed by its holder until that moment on its own wall clock. Its duration and
 * periods equal those of our terms.
 */
internal class WallClockLease(
    private val table: TableService,
    private val process: VirtualProcess,
    private val newOperation: () -> OperationId,
) {
    private var expiresAt = 0L

    /** Number of the present hold, from 1. */
    var epoch: Long = 0
        private set

    /** Called after a takeover from a holder other than this process. */
    var onTakeover: (from: String) -> Unit = {}

    fun isHeld(): Boolean = process.clock.wallMillis() < expiresAt

    fun start() {
        process.scope.launch {
            while (true) {
                step()
                delay(if (isHeld()) RENEW_EVERY else CHECK_EVERY)
            }
        }
    }

    private suspend fun step() {
        val row = table.read(listOf(KEY)).getOrNull()?.let { it.firstOrNull() ?: return take(0, 0, null) } ?: return
        val (holder, epochText, expiry) = row.value.split(" ")
        val free = expiry.toLong() < process.clock.wallMillis()
        if (holder == process.name || free) take(row.version, epochText.toLong(), holder)
    }

    private suspend fun take(version: Long, previous: Long, holder: String?) {
        val next = if (holder == process.name && isHeld()) previous else previous + 1
        val until = process.clock.wallMillis() + DURATION.inWholeMilliseconds
        val condition = if (version == 0L) Condition.Absent(KEY) else Condition.VersionIs(KEY, version)
        val write = Write.Put(KEY, "${process.name} $next $until")
        val result = table.commit(Transaction(newOperation(), listOf(condition), listOf(write))).getOrNull()
        if (result !is CommitResult.Committed) return
        expiresAt = until
        epoch = next
        if (holder != null && holder != process.name) onTakeover(holder)
    }

    private companion object {
        const val KEY = "naive-lease"
        val DURATION = 10.seconds
        val RENEW_EVERY = 3.seconds
        val CHECK_EVERY = 2.seconds
    }
}
