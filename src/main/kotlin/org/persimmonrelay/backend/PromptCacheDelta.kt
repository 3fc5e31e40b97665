package org.persimmonrelay.backend

/** An engine has [tokens] of the prompt part [id] in its cache; 0 once the part was evicted. */
public data class CachedPromptPart(val id: String, val tokens: Int)

/**
 * Changes of an engine's prompt cache, up to the change numbered [next]. [epoch] differs after a restart of the engine,
 * which empties the cache. [isIncomplete] is true when the engine no longer has older changes that were asked for.
 */
public data class PromptCacheDelta(
    val epoch: String,
    val next: Long,
    val isIncomplete: Boolean,
    val changes: List<CachedPromptPart>,
)

/** All prompt parts in an engine's cache, as of the change numbered [next]. */
public data class PromptCacheSnapshot(val epoch: String, val next: Long, val parts: List<CachedPromptPart>)
