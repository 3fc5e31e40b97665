package org.persimmonrelay.quarantine

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * This node's view of the [LossLedger] of all nodes: what the store has of it, and what this node has observed itself,
 * which counts here at once. Times are in Unix milliseconds of the clock that nodes share. Confined to one thread.
 */
public class RequestQuarantine(private val events: EventSink) {
    private val unpublished = Channel<Unit>(Channel.CONFLATED)
    private val completeResponses = RecentCompletions()
    private var stored = LossLedger.EMPTY
    private var own = LossLedger.EMPTY
    private var all = LossLedger.EMPTY
    private var decision = QuarantineDecision.NONE
    private var decidedAtMillis = 0L

    /** Receives an element when there may be something to [publish]. */
    public val changes: ReceiveChannel<Unit>
        get() = unpublished

    /** The first of [suspects] that is quarantined at [nowMillis], or null. */
    public fun quarantined(suspects: List<Suspect>, nowMillis: Long): Suspect? {
        if (all.records.isEmpty()) return null
        if (nowMillis - decidedAtMillis >= DECISION_INTERVAL.inWholeMilliseconds) decide(nowMillis)
        return suspects.firstOrNull { it.id in decision.quarantined }
    }

    /** False if a request with [suspects] should not be sent to another server after one has ended under it. */
    public fun mayRetry(suspects: List<Suspect>): Boolean = suspects.none { it.id in decision.doubtful }

    /** A request was refused because of [suspect]; keeps the quarantine from expiring while such requests come. */
    public fun refused(suspect: Suspect, nowMillis: Long) {
        val record = all[suspect.id] ?: return
        val isRecent = nowMillis - (record.refusedAtMillis ?: 0) < REFUSAL_INTERVAL.inWholeMilliseconds
        if (!isRecent) {
            val refusal = SuspectRecord(record.id, record.position, refusedAtMillis = nowMillis)
            observe(listOf(refusal), nowMillis)
        }
    }

    /** A server ended, which is [loss], as it began to run a request with [suspects]. */
    public fun serverLost(loss: ServerLoss, suspects: List<Suspect>, nowMillis: Long) {
        if (suspects.isEmpty()) return
        events.record(
            QuarantineEvent.SERVER_LOST,
            "server" with loss.server,
            "started" with loss.startedAtMillis,
            "suspects" with suspects.joinToString(",") { it.id },
        )
        val records = suspects.map { SuspectRecord(it.id, it.position, listOf(loss), completeResponses.lastOf(it.id)) }
        observe(records, nowMillis)
    }

    /** A server completed its response to a request with [suspects]. */
    public fun responseCompleted(suspects: List<Suspect>, nowMillis: Long) {
        suspects.forEach { completeResponses.record(it.id, nowMillis) }
        if (all.records.isNotEmpty()) vouch(suspects.mapNotNull { all[it.id] }, nowMillis)
    }

    /** The store had [ledger], perhaps before what it had at the last call. Adds this node's complete responses. */
    public fun adopt(ledger: LossLedger, nowMillis: Long) {
        stored = stored.merge(ledger)
        own = LossLedger(own.records.filterNot { isStored(it, ledger) })
        update(nowMillis)
        vouch(all.records, nowMillis)
    }

    private fun isStored(record: SuspectRecord, ledger: LossLedger): Boolean {
        val stored = ledger[record.id] ?: return false
        return stored.merge(record) == stored
    }

    /** The operators have deleted the ledger: all requests are served again. */
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
    private fun vouch(records: List<SuspectRecord>, nowMillis: Long) {
        val cleared = records.filter { it.losses.isNotEmpty() }.mapNotNull { record ->
            val completeAt = completeResponses.lastOf(record.id) ?: return@mapNotNull null
            val isNews = record.completeAtMillis == null || record.losses.any { it.atMillis <= completeAt }
            if (isNews) SuspectRecord(record.id, record.position, completeAtMillis = completeAt) else null
        }
        if (cleared.isNotEmpty()) observe(cleared, nowMillis)
    }

    private fun observe(records: List<SuspectRecord>, nowMillis: Long) {
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
        val before = decision.quarantined
        decision = decideQuarantine(all)
        (decision.quarantined - before).forEach { recordQuarantined(it) }
        (before - decision.quarantined).forEach { events.record(QuarantineEvent.REQUESTS_RELEASED, "suspect" with it) }
    }

    private fun recordQuarantined(suspect: String) {
        val record = all[suspect] ?: return
        events.record(
            QuarantineEvent.REQUESTS_QUARANTINED,
            "suspect" with suspect,
            "position" with record.position,
            "servers" with record.losses.joinToString(",") { it.server.value },
            "completeBefore" with record.completeAtMillis,
        )
    }

    private companion object {
        val DECISION_INTERVAL: Duration = 1.seconds
        val REFUSAL_INTERVAL: Duration = 1.minutes
    }
}
