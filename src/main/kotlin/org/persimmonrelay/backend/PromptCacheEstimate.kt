package org.persimmonrelay.backend

import org.persimmonrelay.clock.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Estimates which prompt parts one engine has in its cache.
 *
 * While the engine's reports are recent, they count, together with prompts sent too recently to be in a report. Without
 * recent reports, the prompts sent by this node count, up to [capacityTokens] in least-recently-used order.
 */
internal class PromptCacheEstimate(private val capacityTokens: Long) {
    private val sent = LinkedHashMap<String, SentPart>()
    private var totalSentTokens = 0L
    private val reported = HashMap<String, Int>()
    private var epoch: String? = null
    private var reportedAt: Moment? = null

    private class SentPart(val tokens: Int, val at: Moment)

    /** This node sent [prompt] to the engine. */
    fun recordSent(prompt: List<PromptPart>, now: Moment) {
        prompt.forEach { addSent(it, now) }
        while (totalSentTokens > capacityTokens && sent.isNotEmpty()) removeSent(sent.keys.first())
    }

    /** Applies [delta] as reported by the engine. */
    fun applyDelta(delta: PromptCacheDelta, now: Moment) {
        if (delta.epoch != epoch) reset(delta.epoch)
        delta.changes.forEach(::setReported)
        reportedAt = now
    }

    /** Replaces all reported parts by [snapshot]. */
    fun applySnapshot(snapshot: PromptCacheSnapshot, now: Moment) {
        reset(snapshot.epoch)
        snapshot.parts.forEach(::setReported)
        reportedAt = now
    }

    /** True while the engine's last report is recent enough to be used. */
    fun isReported(now: Moment): Boolean = reportedAt?.let { now - it < REPORT_MAX_AGE } ?: false

    /** Tokens at the start of [prompt] that are expected in the cache. */
    fun cachedTokens(prompt: List<PromptPart>, now: Moment): Int {
        val isReported = isReported(now)
        var tokens = 0
        for (part in prompt) {
            val ofPart = minOf(part.tokens, if (isReported) reportedTokens(part, now) else sentTokens(part))
            tokens += ofPart
            if (ofPart < part.tokens - BLOCK_TOKENS) break
        }
        return tokens
    }

    private fun reportedTokens(part: PromptPart, now: Moment): Int {
        reported[part.id]?.let { return it }
        val own = sent[part.id] ?: return 0
        return if (now - own.at < REPORT_LAG) own.tokens else 0
    }

    private fun sentTokens(part: PromptPart): Int = sent[part.id]?.tokens ?: 0

    private fun setReported(part: CachedPromptPart) {
        if (part.tokens > 0) reported[part.id] = part.tokens else reported.remove(part.id)
    }

    private fun reset(newEpoch: String) {
        epoch = newEpoch
        reported.clear()
    }

    private fun addSent(part: PromptPart, now: Moment) {
        removeSent(part.id)
        sent[part.id] = SentPart(part.tokens, now)
        totalSentTokens += part.tokens
    }

    private fun removeSent(id: String) {
        totalSentTokens -= sent.remove(id)?.tokens ?: 0
    }

    private companion object {
        /** Engines cache whole blocks, so the last tokens of a part may be counted with the part after it. */
        const val BLOCK_TOKENS = 16
        val REPORT_MAX_AGE: Duration = 3.seconds

        /** A prompt may be missing from the engine's reports for this long after it was sent. */
        val REPORT_LAG: Duration = 2.seconds
    }
}
