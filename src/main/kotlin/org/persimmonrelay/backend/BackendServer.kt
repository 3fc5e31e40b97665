/*
 * Backend servers as they announce themselves, this node's view of them, and the decision which of them gets a
 * request.
 */
package org.persimmonrelay.backend

import org.persimmonrelay.http.ServerAddress
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.route.ServiceId

/** What an engine does with a prompt. */
public enum class EngineStage { PREFILL, DECODE }

/** One life of a backend server; a restart under the same id has another [startedAtMillis]. */
public data class ServerInstance(val id: ServerId, val startedAtMillis: Long)

/**
 * A backend server as it last announced itself. [isSpot] ones may be taken away on short notice. [stage] is null
 * for servers that are no engines.
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
