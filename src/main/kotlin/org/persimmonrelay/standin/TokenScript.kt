package org.persimmonrelay.standin

import org.persimmonrelay.engine.FinishReason

/** What a stand-in engine says: a function of the prompt alone, so that a resumed answer can be checked. */
public object TokenScript {
    private const val SHORTEST = 20
    private const val SPREAD = 80
    private const val CHARS_PER_TOKEN = 4
    private const val MIXER = -0x61c8864680b583ebL
    private const val MIX_SHIFT = 29
    private val WORDS =
        listOf(
            "tower", "heater", "stone", "venue", "tent", "quote", "sheet", "crew", "step", "path", "frost", "lamp",
            "grout", "slab", "depot", "truck", "valve", "propane", "canopy", "garden", "bridge", "plan", "moss",
        )

    /** Length in tokens of the answer to [prompt] when nothing bounds it. */
    public fun naturalLength(prompt: String): Int = SHORTEST + Math.floorMod(prompt.hashCode(), SPREAD)

    /** Tokens of [text], as the engine counts them. */
    public fun tokensOf(text: String): Int = (text.length + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN

    /** The answer's token at [offset], with its leading space. */
    public fun token(prompt: String, offset: Int): String {
        val mixed = (prompt.hashCode() * MIXER + offset) * MIXER
        return " " + WORDS[Math.floorMod(mixed ushr MIX_SHIFT, WORDS.size.toLong()).toInt()]
    }

    /** The whole answer of [length] tokens. */
    public fun output(prompt: String, length: Int): String = (0 until length).joinToString("") { token(prompt, it) }

    internal fun finish(natural: Int, allowed: Int) = if (natural <= allowed) FinishReason.STOP else FinishReason.LENGTH
}
