package org.persimmonrelay.standin

/** A stand-in engine's cache of prompt prefixes: blocks of tokens, the least recently used of which goes first. */
internal class PrefixCache(private val capacity: Int) {
    private val blocks = LinkedHashMap<Long, Unit>(INITIAL, LOAD_FACTOR, true)

    /** Tokens in use. */
    val usedTokens: Long
        @Synchronized get() = blocks.size.toLong() * BLOCK_TOKENS

    /** Tokens of [prompt] that were cached; afterwards all its whole blocks are. */
    @Synchronized
    fun take(prompt: String): Int {
        val hashes = hashes(prompt)
        val hits = hashes.takeWhile { it in blocks }.size
        hashes.forEach { blocks[it] = Unit }
        trim()
        return hits * BLOCK_TOKENS
    }

    @Synchronized
    fun clear() = blocks.clear()

    private fun trim() {
        val oldest = blocks.keys.iterator()
        while (blocks.size > capacity) {
            oldest.next()
            oldest.remove()
        }
    }

    private fun hashes(prompt: String): List<Long> {
        var hash = 1L
        return prompt.chunked(BLOCK_CHARS).filter { it.length == BLOCK_CHARS }.map { block ->
            hash = hash * FACTOR + block.hashCode()
            hash
        }
    }

    private companion object {
        const val BLOCK_TOKENS = 16
        const val BLOCK_CHARS = 64
        const val FACTOR = 1_000_003L
        const val INITIAL = 16
        const val LOAD_FACTOR = 0.75f
    }
}
