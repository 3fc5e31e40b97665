package org.persimmonrelay.entry

/**
 * Estimates token counts before an engine has counted them, at four characters per token. The role of each message
 * adds a few tokens. Used for limits and routing; usage is recorded from the engine's own count.
 */
internal object TokenEstimate {
    private const val CHARS_PER_TOKEN = 4

    fun of(text: String): Int = (text.length + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN
}
