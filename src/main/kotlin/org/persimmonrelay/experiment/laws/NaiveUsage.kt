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
 * Naive metering for comparison: each attempt to write counts uses a new key, also after a lost response. The holder of
 * a wall-clock lease adds up the counts of a window that has ended and reports their sum until it is accepted.
 */
internal class NaiveUsage(
    private val world: VirtualWorld,
    private val process: VirtualProcess,
    private val reports: UsageReports,
    private val settings: UsageSettings,
) : UsageMeter {
    private val table = VirtualTable(world.network, process, world.table)
    private val lease = WallClockLease(table, process, world::newOperation)
    private val reportedWindows = mutableSetOf<Long>()
    private var unflushedTokens = 0L
    private var writes = 0

    override fun record(workspace: WorkspaceId, promptTokens: Long, outputTokens: Long) {
        unflushedTokens += promptTokens
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
        val flushed = unflushedTokens
        val put = Transaction(world.newOperation(), emptyList(), listOf(Write.Put(key, flushed.toString())))
        if (table.commit(put).isRight()) unflushedTokens -= flushed
    }

    private suspend fun reportLastWindow() {
        val window = windowOf(process.clock.wallMillis() - settings.grace.inWholeMilliseconds) - 1
        if (window in reportedWindows) return
        val rows = table.scan("naive-usage/$window/").getOrNull() ?: return
        val tokenSum = rows.sumOf { it.value.toLong() }
        val body = """{"reports":[{"promptTokens":$tokenSum}]}"""
        if (reports.report(window.toString(), lease.epoch, body).isRight()) reportedWindows += window
    }

    private fun windowOf(wallMillis: Long): Long = wallMillis / settings.window.inWholeMilliseconds
}
