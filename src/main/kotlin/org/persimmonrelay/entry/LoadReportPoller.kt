package org.persimmonrelay.entry

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.persimmonrelay.engine.EngineAddress
import org.persimmonrelay.engine.EngineClient
import kotlin.time.Duration

/** Asks the engines in use for their load every [period] and passes the reports to the gates. */
public class LoadReportPoller(
    private val engine: EngineClient,
    private val gates: DispatchGates,
    private val period: Duration,
) {
    /** Polls until cancelled. An engine that doesn't answer delays nobody else. */
    public suspend fun run() {
        while (true) {
            poll()
            delay(period)
        }
    }

    private suspend fun poll() = coroutineScope {
        gates.servers().forEach { server ->
            launch { engine.load(EngineAddress(server.address)).onRight(gates::reported) }
        }
    }
}
