package org.persimmonrelay.entry

import kotlinx.coroutines.flow.Flow
import org.persimmonrelay.engine.EngineLoadReport
import org.persimmonrelay.identity.ServerId

/** Passes each engine's load to the gates, once for each new report. */
internal class LoadFeed(private val loads: Flow<Map<ServerId, EngineLoadReport>>, private val gates: DispatchGates) {
    private val passed = HashMap<ServerId, EngineLoadReport>()

    /** Passes reports on until cancelled. */
    suspend fun run(): Unit = loads.collect { reports ->
        passed.keys.retainAll(reports.keys)
        reports.values.forEach(::passIfNew)
    }

    private fun passIfNew(report: EngineLoadReport) {
        if (passed.put(report.server, report) != report) gates.reported(report)
    }
}
