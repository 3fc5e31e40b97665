package org.persimmonrelay.standin

import org.persimmonrelay.engine.EngineRole
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What a stand-in engine is like. A rate of 0 tokens a second means without delay.
 *
 * [naturalOutputTokens] gives the natural length of the answer to a prompt; a request may ask for less.
 */
public data class StandInEngineSettings(
    val server: String,
    val models: List<String>,
    val role: EngineRole = EngineRole.MIXED,
    val checksFencing: Boolean = true,
    val prefillTokensPerSecond: Double = 0.0,
    val outputTokensPerSecond: Double = 0.0,
    val importTokensPerSecond: Double = 0.0,
    val cacheBlocks: Int = 4_000,
    val changeTime: Duration = 3.seconds,
    val reportLag: Duration = 200.milliseconds,
    val naturalOutputTokens: (String) -> Int = { TokenScript.naturalLength(it) },
)
