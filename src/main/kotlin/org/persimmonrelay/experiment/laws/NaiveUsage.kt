package org.persimmonrelay.experiment.laws

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.persimmonrelay.identity.WorkspaceId
import org.persimmonrelay.platform.Transaction
import org.persimmonrelay.platform.UsageReports
import org.persimmonrelay.platform.Write
import org.persimmonrelay.usage.UsageMeter
import org.persimmonrelay.usage.UsageSettings

/**
 * Naive metering for comparison: counts are written under a fresh key at each attempt, and the holder of a
 * wall-clock lease sums a window when it is over and sends the sum, again after it was not answered.
 */
internal class NaiveUsage(
    private val world: VirtualWorld,
    private val process: VirtualProcess,
    private val reports: UsageReports,
    private val settings: UsageSettings,
) : UsageMeter {
    private val table = VirtualTable(world.network, process, world.table)
    private val lease = WallClockLease(table, process, world::newOperation)
    private val reported = mutableSetOf<Long>()
    private var count = 0L
    private var writes = 0

    override fun record(workspace: WorkspaceId, promptTokens: Long, outputTokens: Long) {
        count += promptTokens
    }

    fun start() {
        lease.start()
        process.scope.launch {
            while (true) {
                delay(settings.flushEvery)
                flush()
            }
        }
        process.scope.launch {
            while (true) {
                delay(settings.closeEvery)
                if (lease.isHeld()) reportLastWindow()
            }
        }
    }

    private suspend fun flush() {
        val key = "naive-usage/${windowOf(process.clock.wallMillis())}/${process.name}/${writes++}"
        val flushed = count
        val put = Transaction(world.newOperation(), emptyList(), listOf(Write.Put(key, flushed.toString())))
        if (table.commit(put).isRight()) count -= flushed
    }

    private suspend fun reportLastWindow() {
        val window = windowOf(process.clock.wallMillis() - settings.grace.inWholeMilliseconds) - 1
        if (window in reported) return
        val rows = table.scan("naive-usage/$window/").getOrNull() ?: return
        val sum = rows.sumOf { it.value.toLong() }
        val body = """{"reports":[{"promptTokens":$sum}]}"""
        if (reports.report(window.toString(), lease.epoch, body).isRight()) reported += window
    }

    private fun windowOf(wallMillis: Long): Long = wallMillis / settings.window.inWholeMilliseconds
}
