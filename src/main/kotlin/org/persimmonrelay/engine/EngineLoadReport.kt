package org.persimmonrelay.engine

import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.ServerId

/**
 * An engine's own word on its load; lags. [sequence] grows within one [incarnation] of the engine.
 *
 * [knownAttempts] counts the attempts the engine had been given when the report was made, so that a
 * router can add what was sent since.
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
