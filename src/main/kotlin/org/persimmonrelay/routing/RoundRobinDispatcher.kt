package org.persimmonrelay.routing

import org.persimmonrelay.catalog.BackendServerConfig
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.engine.EngineRole
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal
import kotlin.time.Duration.Companion.seconds

/** Baseline for comparisons: starts each request at once, with prefill and decode servers in round-robin order. */
public class RoundRobinDispatcher : Dispatcher {
    private var servers: List<BackendServerConfig> = emptyList()
    private var nextPrefill = 0
    private var nextDecode = 0

    override fun on(event: DispatchEvent, now: Moment): List<DispatchAction> = when (event) {
        is DispatchEvent.Arrived -> listOf(place(event.request))
        is DispatchEvent.ServersChanged -> {
            servers = event.servers.filterNot { it.drain }
            emptyList()
        }
        else -> emptyList()
    }

    private fun place(request: DispatchRequest): DispatchAction {
        val prefillServers = servers.filter { it.role != EngineRole.DECODE }
        if (prefillServers.isEmpty()) return DispatchAction.Refuse(request.id, NO_SERVER)
        val prefill = prefillServers[nextPrefill++ % prefillServers.size]
        return DispatchAction.Start(
            request.id,
            EnginePlacement(ServerId(prefill.name), ServerId(decodeServerFor(prefill).name)),
        )
    }

    private fun decodeServerFor(prefill: BackendServerConfig): BackendServerConfig {
        if (prefill.role == EngineRole.MIXED) return prefill
        val decodeServers = servers.filter { it.role != EngineRole.PREFILL && it.domain == prefill.domain }
        return if (decodeServers.isEmpty()) prefill else decodeServers[nextDecode++ % decodeServers.size]
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
