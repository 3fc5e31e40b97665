package org.persimmonrelay.standin

import org.persimmonrelay.engine.EngineRole
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Behaviour of a stand-in engine. A rate of 0 tokens per second means no delay.
 *
 * [naturalOutputTokens] returns the length of the output for a prompt when the request sets no lower limit.
 * [changeTime] is how long the engine stays busy after a command. [reportLag] is the age of its load reports.
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
