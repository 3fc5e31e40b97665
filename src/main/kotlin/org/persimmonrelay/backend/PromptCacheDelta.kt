package org.persimmonrelay.backend

/** An engine keeps [tokens] of the prompt part [id] now; 0 when it keeps none any more. */
public data class CachedPromptPart(val id: String, val tokens: Int)

/**
 * What changed in the prompts that an engine keeps, up to the change numbered [next]. [epoch] is another one after
 * a restart of the engine, which then keeps nothing of before. [isIncomplete] when older changes were dropped.
 */
public data class PromptCacheDelta(
    val epoch: String,
    val next: Long,
    val isIncomplete: Boolean,
    val changes: List<CachedPromptPart>,
)

/** All prompt parts that an engine keeps, as of the change numbered [next]. */
public data class PromptCacheSnapshot(val epoch: String, val next: Long, val parts: List<CachedPromptPart>)
