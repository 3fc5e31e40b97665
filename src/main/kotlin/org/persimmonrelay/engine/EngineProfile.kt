package org.persimmonrelay.engine

import kotlinx.serialization.Serializable

/**
 * How fast one kind of engine works. Routing, roles and fleet size are decided from these figures.
 *
 * An engine works in steps: a step takes [stepMillis], plus [sequenceMillis] for each running sequence, plus
 * [promptTokenMillis] for each prompt token of the chunk that it also reads. A step that does both takes
 * [mixedFactor] times as long, since the two kinds of work hinder each other.
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
    /** Seconds of an engine that one prompt token costs at best, on an engine that only prefills. */
    public val prefillCost: Double
        get() = (stepMillis / prefillChunkTokens + promptTokenMillis) / MILLIS_PER_SECOND

    /** Seconds of an engine that one output token costs at best, in a full batch. */
    public val decodeCost: Double
        get() = (stepMillis / maxRunning + sequenceMillis) / MILLIS_PER_SECOND

    /** Prompt tokens per second of an engine in [role] while [running] sequences are decoded beside. */
    public fun prefillRate(role: EngineRole, running: Int): Double {
        val chunk = if (role == EngineRole.PREFILL) prefillChunkTokens else mixedChunkTokens
        val sequences = if (role == EngineRole.PREFILL) 0 else running
        return chunk / stepSeconds(sequences, chunk)
    }

    /** Seconds of one step with [sequences] running and [promptTokens] read. */
    public fun stepSeconds(sequences: Int, promptTokens: Int): Double {
        val millis = stepMillis + sequences * sequenceMillis + promptTokens * promptTokenMillis
        val factor = if (sequences > 0 && promptTokens > 0) mixedFactor else 1.0
        return millis * factor / MILLIS_PER_SECOND
    }

    /** Seconds to move the KV cache of [tokens] between two engines of one failure domain. */
    public fun transferSeconds(tokens: Int): Double =
        (transferMillis + tokens * transferTokenMillis) / MILLIS_PER_SECOND

    /** Seconds of an engine that reading [promptTokens] and writing [outputTokens] cost at best. */
    public fun cost(promptTokens: Int, outputTokens: Int): Double =
        promptTokens * prefillCost + outputTokens * decodeCost

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
