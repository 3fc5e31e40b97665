package org.persimmonrelay.engine

import kotlinx.serialization.Serializable

/**
 * Performance figures of one kind of engine, used to decide routing, roles and fleet size.
 *
 * An engine runs in steps: a step takes [stepMillis], plus [sequenceMillis] for each sequence being decoded, plus
 * [promptTokenMillis] for each prompt token that it prefills. A step that does both takes [mixedFactor] times as
 * long, since prefill and decode slow each other down.
 */
@Serializable
public data class EngineProfile(
    val stepMillis: Double = 12.0,
    val sequenceMillis: Double = 0.3,
    val promptTokenMillis: Double = 0.05,
    val prefillChunkTokens: Int = 2_048,
    val mixedChunkTokens: Int = 512,
    val mixedFactor: Double = 1.25,
    val maxRunning: Int = 64,
    val kvTokens: Long = 128_000,
    val blockTokens: Int = 256,
    val transferMillis: Double = 5.0,
    val transferTokenMillis: Double = 0.005,
) {
    /** Minimum engine time in seconds per prompt token, reached on an engine that only prefills. */
    public val prefillCost: Double
        get() = (stepMillis / prefillChunkTokens + promptTokenMillis) / MILLIS_PER_SECOND

    /** Minimum engine time in seconds per output token, reached with a full batch. */
    public val decodeCost: Double
        get() = (stepMillis / maxRunning + sequenceMillis) / MILLIS_PER_SECOND

    /** Prompt tokens per second that an engine in [role] prefills while it decodes [running] sequences. */
    public fun prefillRate(role: EngineRole, running: Int): Double {
        val chunk = if (role == EngineRole.PREFILL) prefillChunkTokens else mixedChunkTokens
        val sequences = if (role == EngineRole.PREFILL) 0 else running
        return chunk / stepSeconds(sequences, chunk)
    }

    /** Duration in seconds of a step that decodes [sequences] sequences and prefills [promptTokens] tokens. */
    public fun stepSeconds(sequences: Int, promptTokens: Int): Double {
        val millis = stepMillis + sequences * sequenceMillis + promptTokens * promptTokenMillis
        val factor = if (sequences > 0 && promptTokens > 0) mixedFactor else 1.0
        return millis * factor / MILLIS_PER_SECOND
    }

    /** Time in seconds to transfer the KV cache of [tokens] tokens between two engines of one failure domain. */
    public fun transferSeconds(tokens: Int): Double =
        (transferMillis + tokens * transferTokenMillis) / MILLIS_PER_SECOND

    /** Minimum engine time in seconds to prefill [promptTokens] and generate [outputTokens]. */
    public fun cost(promptTokens: Int, outputTokens: Int): Double =
        promptTokens * prefillCost + outputTokens * decodeCost

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
