package org.persimmonrelay.entry

import kotlinx.coroutines.flow.Flow
import org.persimmonrelay.engine.EngineLoadReport
import org.persimmonrelay.identity.ServerId

/** Passes each new load report of an engine to the queues once. */
internal class LoadReportForwarder(
    private val loadReports: Flow<Map<ServerId, EngineLoadReport>>,
    private val queues: DispatchQueues,
) {
    private val forwarded = HashMap<ServerId, EngineLoadReport>()

    /** Forwards reports until cancelled. */
    suspend fun run(): Unit = loadReports.collect { reports ->
        forwarded.keys.retainAll(reports.keys)
        reports.values.forEach(::forwardIfNew)
    }

    private fun forwardIfNew(report: EngineLoadReport) {
        if (forwarded.put(report.server, report) != report) queues.updateLoad(report)
    }
}
