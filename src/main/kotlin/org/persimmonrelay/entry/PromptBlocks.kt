package org.persimmonrelay.entry

/** Hashes of a prompt's blocks of 16 estimated tokens, each over all blocks up to it, for prefix routing. */
internal object PromptBlocks {
    private const val BLOCK_CHARS = 64
    private const val FACTOR = 1_000_003L

    /** One hash per whole block. */
    fun of(prompt: String): LongArray {
        var hash = 1L
        return LongArray(prompt.length / BLOCK_CHARS) { block ->
            for (i in block * BLOCK_CHARS until (block + 1) * BLOCK_CHARS) hash = hash * FACTOR + prompt[i].code
            hash
        }
    }
}
