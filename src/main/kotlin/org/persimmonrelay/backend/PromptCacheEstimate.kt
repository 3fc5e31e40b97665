package org.persimmonrelay.backend

import org.persimmonrelay.clock.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Estimates which prompt parts one engine has in its cache.
 *
 * While the engine's reports are recent, they count, together with prompts sent too recently to be in a report. Without
 * recent reports, the prompts sent by this node count, up to [capacityTokens] in least-recently-used order.
 *
 * Reports come from the engine itself or from another node that polls it. The latter are datagrams, of which some are
 * lost, so that a part which is not named again for [SHARED_MAX_AGE] no longer counts.
 */
internal class PromptCacheEstimate(private val capacityTokens: Long) {
    private val sent = LinkedHashMap<String, SentPart>()
    private var totalSentTokens = 0L
    private val reported = LinkedHashMap<String, ReportedPart>()
    private val endedEpochs = HashSet<String>()
    private var refreshed = 0
    private var epoch: String? = null
    private var reportedAt: Moment? = null

    private class SentPart(val tokens: Int, val at: Moment)

    /** Counts until [expires]; null when the engine itself reported it. */
    private class ReportedPart(val tokens: Int, val expires: Moment?)

    /** This node sent [prompt] to the engine. */
    fun recordSent(prompt: List<PromptPart>, now: Moment) {
        prompt.forEach { addSent(it, now) }
        while (totalSentTokens > capacityTokens && sent.isNotEmpty()) removeSent(sent.keys.first())
    }

    /** Applies [delta] as reported by the engine. */
    fun applyDelta(delta: PromptCacheDelta, now: Moment) {
        if (delta.epoch != epoch) reset(delta.epoch)
        delta.changes.forEach { setReported(it, expires = null) }
        reportedAt = now
    }

    /** Replaces all reported parts by [snapshot]. */
    fun applySnapshot(snapshot: PromptCacheSnapshot, now: Moment) {
        reset(snapshot.epoch)
        snapshot.parts.forEach { setReported(it, expires = null) }
        reportedAt = now
    }

    /** Applies [parts] as another node has heard them from the engine in its run [engineEpoch]. */
    fun applyShared(engineEpoch: String, parts: List<CachedPromptPart>, now: Moment) {
        if (engineEpoch in endedEpochs) return
        if (engineEpoch != epoch) reset(engineEpoch)
        parts.forEach { setReported(it, expires = now + SHARED_MAX_AGE) }
        reportedAt = now
    }

    /** The engine's run that the reports are about; null before the first report. */
    val reportedEpoch: String?
        get() = epoch

    /** Up to [count] of the reported parts, other ones at each call until all were returned. */
    fun nextReported(count: Int): List<CachedPromptPart> {
        if (refreshed >= reported.size) refreshed = 0
        val parts = reported.entries.asSequence().drop(refreshed).take(count)
            .map { CachedPromptPart(it.key, it.value.tokens) }.toList()
        refreshed += parts.size
        return parts
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
        reported[part.id]?.takeUnless { it.expires != null && now >= it.expires }?.let { return it.tokens }
        val own = sent[part.id] ?: return 0
        return if (now - own.at < REPORT_LAG) own.tokens else 0
    }

    private fun sentTokens(part: PromptPart): Int = sent[part.id]?.tokens ?: 0

    private fun setReported(part: CachedPromptPart, expires: Moment?) {
        if (part.tokens > 0) reported[part.id] = ReportedPart(part.tokens, expires) else reported.remove(part.id)
        // Bounds the memory where the removals of parts were lost.
        if (reported.size > MAX_REPORTED_PARTS) reported.remove(reported.keys.first())
    }

    private fun reset(newEpoch: String) {
        epoch?.let { if (endedEpochs.size < MAX_ENDED_EPOCHS) endedEpochs += it }
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
        val SHARED_MAX_AGE: Duration = 15.seconds
        const val MAX_REPORTED_PARTS = 4_096
        const val MAX_ENDED_EPOCHS = 64

        /** A prompt may be missing from the engine's reports for this long after it was sent. */
        val REPORT_LAG: Duration = 2.seconds
    }
}
