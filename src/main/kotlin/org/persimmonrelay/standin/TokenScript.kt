package org.persimmonrelay.standin

import org.persimmonrelay.engine.FinishReason

/** Output of a stand-in engine: depends on the prompt only, so that tests can check a resumed response. */
public object TokenScript {
    private const val MIN_LENGTH = 20
    private const val LENGTH_RANGE = 80
    private const val CHARS_PER_TOKEN = 4
    private const val HASH_MULTIPLIER = -0x61c8864680b583ebL
    private const val HASH_SHIFT = 29
    private val WORDS =
        listOf(
            "tower", "heater", "stone", "venue", "tent", "quote", "sheet", "crew", "step", "path", "frost", "lamp",
            "grout", "slab", "depot", "truck", "valve", "propane", "canopy", "garden", "bridge", "plan", "moss",
        )

    /** Number of output tokens for [prompt] without a limit. */
    public fun naturalLength(prompt: String): Int = MIN_LENGTH + Math.floorMod(prompt.hashCode(), LENGTH_RANGE)

    /** Number of tokens in [text]: one for every started group of four characters. */
    public fun countTokens(text: String): Int = (text.length + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN

    /** The output token at [offset], including its leading space. */
    public fun token(prompt: String, offset: Int): String {
        val hash = (prompt.hashCode() * HASH_MULTIPLIER + offset) * HASH_MULTIPLIER
        return " " + WORDS[Math.floorMod(hash ushr HASH_SHIFT, WORDS.size.toLong()).toInt()]
    }

    /** The first [length] tokens of the output as one text. */
    public fun output(prompt: String, length: Int): String = (0 until length).joinToString("") { token(prompt, it) }

    internal fun finishReason(naturalTokens: Int, maxTokens: Int) =
        if (naturalTokens <= maxTokens) FinishReason.STOP else FinishReason.LENGTH
}
