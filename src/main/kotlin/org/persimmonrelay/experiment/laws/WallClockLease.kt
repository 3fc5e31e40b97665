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
 * Naive lease for comparison: a row with the holder and a wall-clock expiry time. Any process that reads an expired row
 * may take over the lease; the holder considers the lease held until that time on its own wall clock. Duration and
 * intervals equal the defaults of LeaseTerms.
 */
internal class WallClockLease(
    private val table: TableService,
    private val process: VirtualProcess,
    private val newOperation: () -> OperationId,
) {
    private var expiresAt = 0L

    /** Number of this process's latest hold of the lease, from 1; each new hold has the next number. */
    var epoch: Long = 0
        private set

    /** Called after a takeover from a holder other than this process. */
    var onTakeover: (from: String) -> Unit = {}

    fun isHeld(): Boolean = process.clock.wallMillis() < expiresAt

    fun start() {
        process.scope.launch {
            while (true) {
                renewOrAcquire()
                delay(if (isHeld()) RENEW_INTERVAL else CHECK_INTERVAL)
            }
        }
    }

    private suspend fun renewOrAcquire() {
        val row = table.read(listOf(KEY)).getOrNull()?.let { it.firstOrNull() ?: return acquire(0, 0, null) } ?: return
        val (holder, epochText, expiry) = row.value.split(" ")
        val expired = expiry.toLong() < process.clock.wallMillis()
        if (holder == process.name || expired) acquire(row.version, epochText.toLong(), holder)
    }

    private suspend fun acquire(version: Long, previousEpoch: Long, holder: String?) {
        val newEpoch = if (holder == process.name && isHeld()) previousEpoch else previousEpoch + 1
        val newExpiry = process.clock.wallMillis() + DURATION.inWholeMilliseconds
        val condition = if (version == 0L) Condition.Absent(KEY) else Condition.VersionIs(KEY, version)
        val write = Write.Put(KEY, "${process.name} $newEpoch $newExpiry")
        val result = table.commit(Transaction(newOperation(), listOf(condition), listOf(write))).getOrNull()
        if (result !is CommitResult.Committed) return
        expiresAt = newExpiry
        epoch = newEpoch
        if (holder != null && holder != process.name) onTakeover(holder)
    }

    private companion object {
        const val KEY = "naive-lease"
        val DURATION = 10.seconds
        val RENEW_INTERVAL = 3.seconds
        val CHECK_INTERVAL = 2.seconds
    }
}
