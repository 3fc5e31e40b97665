package org.persimmonrelay.backend

import org.persimmonrelay.clock.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What this node believes that one engine keeps of prompts: what the engine itself reports, with what was sent there
 * too lately for a report. Where reports fail, what was sent there by this node, least recently used first, up to
 * [capacityTokens].
 */
internal class PromptMemory(private val capacityTokens: Long) {
    private val sent = LinkedHashMap<String, SentPart>()
    private var sentTokens = 0L
    private val reported = HashMap<String, Int>()
    private var epoch: String? = null
    private var reportedAt: Moment? = null

    private class SentPart(val tokens: Int, val at: Moment)

    /** The prompt was sent there to be read. */
    fun read(prompt: List<PromptPart>, now: Moment) {
        prompt.forEach { keep(it, now) }
        while (sentTokens > capacityTokens && sent.isNotEmpty()) drop(sent.keys.first())
    }

    /** The engine reported [changes]. */
    fun changed(changes: PromptCacheDelta, now: Moment) {
        if (changes.epoch != epoch) forget(changes.epoch)
        changes.changes.forEach(::report)
        reportedAt = now
    }

    /** The engine reported all that it keeps. */
    fun replaced(list: PromptCacheSnapshot, now: Moment) {
        forget(list.epoch)
        list.parts.forEach(::report)
        reportedAt = now
    }

    /** True while the engine's own reports are recent enough to go by. */
    fun isReported(now: Moment): Boolean = reportedAt?.let { now - it < REPORT_TRUST } ?: false

    /** Tokens at the start of [prompt] that need not be read again. */
    fun kept(prompt: List<PromptPart>, now: Moment): Int {
        val isReported = isReported(now)
        var tokens = 0
        for (part in prompt) {
            val ofPart = minOf(part.tokens, if (isReported) reportedOf(part, now) else sentOf(part))
            tokens += ofPart
            if (ofPart < part.tokens - BLOCK_TOKENS) break
        }
        return tokens
    }

    private fun reportedOf(part: PromptPart, now: Moment): Int {
        reported[part.id]?.let { return it }
        val own = sent[part.id] ?: return 0
        return if (now - own.at < REPORT_LAG) own.tokens else 0
    }

    private fun sentOf(part: PromptPart): Int = sent[part.id]?.tokens ?: 0

    private fun report(part: CachedPromptPart) {
        if (part.tokens > 0) reported[part.id] = part.tokens else reported.remove(part.id)
    }

    private fun forget(newEpoch: String) {
        epoch = newEpoch
        reported.clear()
    }

    private fun keep(part: PromptPart, now: Moment) {
        drop(part.id)
        sent[part.id] = SentPart(part.tokens, now)
        sentTokens += part.tokens
    }

    private fun drop(id: String) {
        sentTokens -= sent.remove(id)?.tokens ?: 0
    }

    private companion object {
        /** Engines keep whole blocks, so the end of a part may count with what follows it. */
        const val BLOCK_TOKENS = 16
        val REPORT_TRUST: Duration = 3.seconds

        /** Until then a prompt that was sent may not be in the engine's reports yet. */
        val REPORT_LAG: Duration = 2.seconds
    }
}
