package org.persimmonrelay.experiment

/** An engine's prefix cache: an LRU set of hashed prompt blocks, at most [maxBlocks] of them. */
internal class BlockCache(private val maxBlocks: Int) {
    private val blocks =
        object : LinkedHashMap<Long, Unit>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Long, Unit>): Boolean = size > maxBlocks
        }

    /** Number of leading blocks of [prompt] that are cached. */
    fun cachedPrefixBlocks(prompt: LongArray): Int {
        for (index in prompt.indices) if (blocks[prompt[index]] == null) return index
        return prompt.size
    }

    fun add(prompt: LongArray): Unit = prompt.forEach { blocks[it] = Unit }

    fun clear(): Unit = blocks.clear()

    private companion object {
        const val INITIAL_CAPACITY = 1024
        const val LOAD_FACTOR = 0.75f
    }
}
