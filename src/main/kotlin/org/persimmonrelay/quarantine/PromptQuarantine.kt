package org.persimmonrelay.quarantine

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.backend.PromptPart
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * This node's view of the [LossLedger] of all nodes: what the store has of it, and what this node has observed itself,
 * which counts here at once. Times are in Unix milliseconds of the clock that nodes share. Confined to one thread.
 */
public class PromptQuarantine(private val events: EventSink) {
    private val unpublished = Channel<Unit>(Channel.CONFLATED)
    private val completeResponses = RecentCompletions()
    private var stored = LossLedger.EMPTY
    private var own = LossLedger.EMPTY
    private var all = LossLedger.EMPTY
    private var quarantined: Set<String> = emptySet()
    private var decidedAtMillis = 0L

    /** Receives an element when there may be something to [publish]. */
    public val changes: ReceiveChannel<Unit>
        get() = unpublished

    /** The part of [prompt] that is quarantined at [nowMillis], or null. The last part is the request's own. */
    public fun quarantinedPart(prompt: List<PromptPart>, nowMillis: Long): PromptPart? {
        if (all.records.isEmpty()) return null
        if (nowMillis - decidedAtMillis >= DECISION_INTERVAL.inWholeMilliseconds) decide(nowMillis)
        if (quarantined.isEmpty()) return null
        return prompt.dropLast(1).firstOrNull { it.id in quarantined }
    }

    /** A request was refused because of [part]; keeps the quarantine from expiring while such requests come. */
    public fun refused(part: PromptPart, nowMillis: Long) {
        val record = all[part.id] ?: return
        val isRecent = nowMillis - (record.refusedAtMillis ?: 0) < REFUSAL_INTERVAL.inWholeMilliseconds
        if (!isRecent) observe(listOf(PartRecord(part.id, record.position, refusedAtMillis = nowMillis)), nowMillis)
    }

    /** [server] ended at [atMillis] as it began to answer a request with [prompt]. */
    public fun serverLost(server: BackendServer, prompt: List<PromptPart>, atMillis: Long, nowMillis: Long) {
        val shared = prompt.dropLast(1)
        if (shared.isEmpty()) return
        events.record(
            QuarantineEvent.SERVER_LOST,
            "server" with server.instance.id,
            "started" with server.instance.startedAtMillis,
            "parts" with shared.joinToString(",") { it.id.take(MAX_ID_LENGTH) },
        )
        val loss = ServerLoss(server.instance.id, server.instance.startedAtMillis, atMillis)
        val records = shared.mapIndexed { position, part ->
            PartRecord(part.id, position, listOf(loss), completeResponses.lastOf(part.id))
        }
        observe(records.filter { it.part.length <= MAX_ID_LENGTH }, nowMillis)
    }

    /** A server completed its response to a request with [prompt]. */
    public fun responseCompleted(prompt: List<PromptPart>, nowMillis: Long) {
        val shared = prompt.dropLast(1)
        shared.forEach { completeResponses.record(it.id, nowMillis) }
        if (all.records.isNotEmpty()) vouch(shared.mapNotNull { all[it.id] }, nowMillis)
    }

    /** The store had [ledger], perhaps before what it had at the last call. Adds this node's complete responses. */
    public fun adopt(ledger: LossLedger, nowMillis: Long) {
        stored = stored.merge(ledger)
        own = LossLedger(own.records.filterNot { isStored(it, ledger) })
        update(nowMillis)
        vouch(all.records, nowMillis)
    }

    private fun isStored(record: PartRecord, ledger: LossLedger): Boolean {
        val stored = ledger[record.part] ?: return false
        return stored.merge(record) == stored
    }

    /** The operators have deleted the ledger: all parts are released. */
    public fun reset(nowMillis: Long) {
        own = LossLedger.EMPTY
        stored = LossLedger.EMPTY
        update(nowMillis)
    }

    /** The store was restored from an older copy: what it had is to be published again. */
    public fun storeRestored() {
        own = own.merge(stored)
        unpublished.trySend(Unit)
    }

    /** What the store should have in place of [ledger]; null when that has all that this node has observed. */
    public fun publish(ledger: LossLedger, nowMillis: Long): LossLedger? {
        val current = ledger.merge(LossLedger.EMPTY)
        val merged = own.withoutExpired(nowMillis).merge(current)
        return merged.withoutExpired(nowMillis).takeIf { merged != current }
    }

    /** Adds this node's complete responses to those of [records] that they clear, or that have none yet. */
    private fun vouch(records: List<PartRecord>, nowMillis: Long) {
        val cleared = records.filter { it.losses.isNotEmpty() }.mapNotNull { record ->
            val completeAt = completeResponses.lastOf(record.part) ?: return@mapNotNull null
            val isNews = record.completeAtMillis == null || record.losses.any { it.atMillis <= completeAt }
            if (isNews) PartRecord(record.part, record.position, completeAtMillis = completeAt) else null
        }
        if (cleared.isNotEmpty()) observe(cleared, nowMillis)
    }

    private fun observe(records: List<PartRecord>, nowMillis: Long) {
        own = own.withoutExpired(nowMillis).merge(LossLedger(records))
        update(nowMillis)
        unpublished.trySend(Unit)
    }

    private fun update(nowMillis: Long) {
        all = own.merge(stored)
        decide(nowMillis)
    }

    private fun decide(nowMillis: Long) {
        all = all.withoutExpired(nowMillis)
        decidedAtMillis = nowMillis
        val before = quarantined
        quarantined = quarantinedParts(all)
        (quarantined - before).forEach { recordQuarantined(it) }
        (before - quarantined).forEach { events.record(QuarantineEvent.PART_RELEASED, "part" with it) }
    }

    private fun recordQuarantined(part: String) {
        val record = all[part] ?: return
        events.record(
            QuarantineEvent.PART_QUARANTINED,
            "part" with part,
            "position" with record.position,
            "servers" with record.losses.joinToString(",") { it.server.value },
            "completeBefore" with record.completeAtMillis,
        )
    }

    private companion object {
        /** Longer ids are not pooled, so that the ledger stays small. */
        const val MAX_ID_LENGTH = 64
        val DECISION_INTERVAL: Duration = 1.seconds
        val REFUSAL_INTERVAL: Duration = 1.minutes
    }
}
