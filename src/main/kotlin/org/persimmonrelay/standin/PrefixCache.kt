package org.persimmonrelay.standin

/** A stand-in engine's cache of prompt prefixes: at most [capacity] blocks of tokens, with LRU eviction. */
internal class PrefixCache(private val capacity: Int) {
    private val blocks = LinkedHashMap<Long, Unit>(INITIAL_CAPACITY, LOAD_FACTOR, true)

    /** Number of cached tokens. */
    val usedTokens: Long
        @Synchronized get() = blocks.size.toLong() * BLOCK_TOKENS

    /** Returns how many tokens of [prompt] were cached, then caches all complete blocks of the prompt. */
    @Synchronized
    fun lookUpAndStore(prompt: String): Int {
        val hashes = hashes(prompt)
        val hits = hashes.takeWhile { it in blocks }.size
        hashes.forEach { blocks[it] = Unit }
        evict()
        return hits * BLOCK_TOKENS
    }

    @Synchronized
    fun clear() = blocks.clear()

    private fun evict() {
        val leastRecent = blocks.keys.iterator()
        while (blocks.size > capacity) {
            leastRecent.next()
            leastRecent.remove()
        }
    }

    private fun hashes(prompt: String): List<Long> {
        var hash = 1L
        return prompt.chunked(BLOCK_CHARS).filter { it.length == BLOCK_CHARS }.map { block ->
            hash = hash * HASH_FACTOR + block.hashCode()
            hash
        }
    }

    private companion object {
        const val BLOCK_TOKENS = 16
        const val BLOCK_CHARS = 64
        const val HASH_FACTOR = 1_000_003L
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
    }
}
