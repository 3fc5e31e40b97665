package org.persimmonrelay.engine

import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.ServerId

/**
 * Load of an engine as the engine itself reports it, with a delay. [sequence] increases within one [incarnation] of
 * the engine.
 *
 * [knownAttempts] counts the attempts that the engine had received when it made the report, so that a router can
 * add the load of attempts sent since then.
 */
@Serializable
public data class EngineLoadReport(
    val server: ServerId,
    val incarnation: String,
    val sequence: Long,
    val role: EngineRole,
    val models: List<String>,
    val queuedPromptTokens: Long,
    val runningRequests: Int,
    val remainingOutputTokens: Long,
    val kvTokensUsed: Long,
    val kvTokensTotal: Long,
    val knownAttempts: Long = 0,
    val draining: Boolean = false,
)
