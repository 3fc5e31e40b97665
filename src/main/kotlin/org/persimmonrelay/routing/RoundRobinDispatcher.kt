package org.persimmonrelay.routing

import org.persimmonrelay.catalog.BackendServerConfig
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.engine.EngineRole
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal
import kotlin.time.Duration.Companion.seconds

/** The naive baseline: starts every request at once on the next server in turn, and decodes on the next in turn. */
public class RoundRobinDispatcher : Dispatcher {
    private var servers: List<BackendServerConfig> = emptyList()
    private var turn = 0
    private var decodeTurn = 0

    override fun on(event: DispatchEvent, now: Moment): List<DispatchAction> = when (event) {
        is DispatchEvent.Arrived -> listOf(place(event.request))
        is DispatchEvent.ServersChanged -> {
            servers = event.servers.filterNot { it.drain }
            emptyList()
        }
        else -> emptyList()
    }

    private fun place(request: DispatchRequest): DispatchAction {
        val readers = servers.filter { it.role != EngineRole.DECODE }
        if (readers.isEmpty()) return DispatchAction.Refuse(request.id, NO_SERVER)
        val reader = readers[turn++ % readers.size]
        return DispatchAction.Start(
            request.id,
            EnginePlacement(ServerId(reader.name), ServerId(writerFor(reader).name)),
        )
    }

    private fun writerFor(reader: BackendServerConfig): BackendServerConfig {
        if (reader.role == EngineRole.MIXED) return reader
        val writers = servers.filter { it.role != EngineRole.PREFILL && it.domain == reader.domain }
        return if (writers.isEmpty()) reader else writers[decodeTurn++ % writers.size]
    }

    private companion object {
        val NO_SERVER =
            Refusal.NotRun(
                NotRunReason.NO_SERVER,
                "No backend server of this deployment takes work now; try again after the given time.",
                5.seconds,
            )
    }
}
