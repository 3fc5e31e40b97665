package org.persimmonrelay.entry

/**
 * Estimates tokens before an engine has counted them: four characters make one token, and each message costs a
 * few more for its role. Used for bounds and routing; usage is recorded from the engine's own count.
 */
internal object TokenEstimate {
    private const val CHARS_PER_TOKEN = 4

    fun of(text: String): Int = (text.length + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN
}
