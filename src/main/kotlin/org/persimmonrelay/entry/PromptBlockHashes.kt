package org.persimmonrelay.entry

/** Hashes of a prompt's prefixes, one for every 64 characters (about 16 tokens), for prefix-aware routing. */
internal object PromptBlockHashes {
    private const val BLOCK_CHARS = 64
    private const val FACTOR = 1_000_003L

    /** One hash per complete block; each covers the prompt from its start to the end of that block. */
    fun of(prompt: String): LongArray {
        var hash = 1L
        return LongArray(prompt.length / BLOCK_CHARS) { block ->
            for (i in block * BLOCK_CHARS until (block + 1) * BLOCK_CHARS) hash = hash * FACTOR + prompt[i].code
            hash
        }
    }
}
