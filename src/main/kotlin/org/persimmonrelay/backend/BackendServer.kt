/*
 * Backend servers as they announce themselves, this node's view of them, and the choice of a server for each request.
 */
package org.persimmonrelay.backend

import org.persimmonrelay.http.ServerAddress
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.route.ServiceId

/** The stage of inference that an engine runs. */
public enum class EngineStage { PREFILL, DECODE }

/** One run of a backend server. After a restart under the same id, [startedAtMillis], in Unix time, differs. */
public data class ServerInstance(val id: ServerId, val startedAtMillis: Long)

/**
 * A backend server as it last announced itself. Spot servers ([isSpot]) may be reclaimed on short notice. [slots] is
 * the number of requests that it runs at the same time. [stage] is null for servers that are not engines.
 */
public data class BackendServer(
    val instance: ServerInstance,
    val service: ServiceId,
    val address: ServerAddress,
    val domain: FailureDomain,
    val slots: Int,
    val isDraining: Boolean,
    val isSpot: Boolean,
    val stage: EngineStage?,
)
