package org.persimmonrelay.backend

/**
 * What this node believes that one engine keeps of prompts, least recently used first, up to [capacityTokens].
 */
internal class PromptMemory(private val capacityTokens: Long) {
    private val parts = LinkedHashMap<String, Int>(INITIAL_PARTS, LOAD_FACTOR, true)
    private var tokens = 0L

    /** The prompt was read there. */
    fun read(prompt: List<PromptPart>) {
        prompt.forEach(::keep)
        while (tokens > capacityTokens && parts.isNotEmpty()) {
            val eldest = parts.entries.first()
            parts.remove(eldest.key)
            tokens -= eldest.value
        }
    }

    /** Tokens at the start of [prompt] that need not be read again. */
    fun kept(prompt: List<PromptPart>): Int = prompt.takeWhile { it.id in parts }.sumOf { it.tokens }

    private fun keep(part: PromptPart) {
        val before = parts.put(part.id, part.tokens) ?: 0
        tokens += part.tokens - before
    }

    private companion object {
        const val INITIAL_PARTS = 64
        const val LOAD_FACTOR = 0.75f
    }
}
