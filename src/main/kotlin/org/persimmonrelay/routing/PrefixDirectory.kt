/*
 * Estimates the contents of the engines' prefix caches. The engine preferred for a prefix is chosen by rendezvous
 * hashing, so all nodes agree on it without communication. The blocks sent to each engine are stored as a hint. With
 * the first token, engines report how many tokens they found in their cache, which corrects the hint.
 */
package org.persimmonrelay.routing

import org.persimmonrelay.identity.ServerId

/** Engines that probably have each prefix block cached, for up to [maxBlocks] blocks in LRU order. Not thread-safe. */
internal class PrefixDirectory(private val maxBlocks: Int = DEFAULT_MAX_BLOCKS) {
    private val holders =
        object : LinkedHashMap<Long, ArrayList<String>>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Long, ArrayList<String>>): Boolean =
                size > maxBlocks
        }

    /** Number of leading [blocks] that [server] probably has cached. */
    fun cachedBlocks(server: ServerId, blocks: LongArray): Int {
        for (index in blocks.indices) {
            val known = holders[blocks[index]] ?: return index
            if (server.value !in known) return index
        }
        return blocks.size
    }

    fun sent(server: ServerId, blocks: LongArray) {
        for (block in blocks) {
            val known = holders.getOrPut(block) { ArrayList(1) }
            if (server.value !in known) known += server.value
        }
    }

    /** [server] had only the first [found] of [blocks] cached, fewer than expected, and has all of them cached now. */
    fun corrected(server: ServerId, blocks: LongArray, found: Int) {
        for (index in found until blocks.size) holders[blocks[index]]?.remove(server.value)
        sent(server, blocks)
    }

    fun forget(server: ServerId) {
        holders.values.forEach { it.remove(server.value) }
    }

    /**
     * The engine that all nodes prefer for requests with the same first blocks; null without blocks or engines. The
     * failure domain is chosen first, then an engine in it, so that few engines have to be hashed.
     */
    fun affinity(groups: List<EngineGroup>, blocks: LongArray): EngineEstimate? {
        if (blocks.isEmpty() || groups.isEmpty()) return null
        val key = blocks[minOf(blocks.size, AFFINITY_BLOCKS) - 1]
        val group = groups.maxBy { mix(key xor it.seed) }
        return group.engines.maxBy { mix(key xor it.seed) }
    }

    internal companion object {
        /** Leading blocks that decide the affinity; later ones differ between requests that share a document. */
        const val AFFINITY_BLOCKS = 4
        const val DEFAULT_MAX_BLOCKS = 20_000
        private const val INITIAL_CAPACITY = 1024
        private const val LOAD_FACTOR = 0.75f
        private const val MIX_1 = -0x61c8864680b583ebL
        private const val MIX_2 = -0x4b47d0c5a44b7a55L
        private const val SHIFT = 31

        /** Hash of [value] with evenly distributed bits. */
        fun mix(value: Long): Long {
            var bits = value * MIX_1
            bits = (bits xor (bits ushr SHIFT)) * MIX_2
            return bits xor (bits ushr SHIFT)
        }
    }
}
