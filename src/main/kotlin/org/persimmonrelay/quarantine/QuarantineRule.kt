package org.persimmonrelay.quarantine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The ids of the suspects that [ledger] shows to end servers.
 *
 * A server that ends breaks all of its requests, so that harmless suspects collect losses too, though fewer. The
 * smallest explanation is sought: the suspect with the most losses goes first, and a loss that it explains no longer
 * counts against others. Suspects that were once in a complete response are considered last. Of two that always came
 * together, the later one in the prompt goes first, since fewer requests share it. The contents of two requests that
 * were lost together equally often both go: refusing one sound request costs less than a fourth server.
 */
public fun quarantinedSuspects(ledger: LossLedger): Set<String> = decideQuarantine(ledger).quarantined

/**
 * The ids of suspects that are [quarantined], and of those that are [doubtful]: enough servers ended under them, but
 * another suspect explains it as well. A request with a doubtful suspect is not sent to another server after one has
 * ended.
 */
internal data class QuarantineDecision(val quarantined: Set<String>, val doubtful: Set<String>) {
    companion object {
        val NONE = QuarantineDecision(emptySet(), emptySet())
    }
}

internal fun decideQuarantine(ledger: LossLedger): QuarantineDecision {
    val quarantined = ArrayList<SuspectRecord>()
    val doubtful = LinkedHashSet<String>()
    for (record in ledger.records.sortedWith(MOST_SUSPECT_FIRST)) {
        val unexplained = record.losses.filterNot { loss -> quarantined.any { it.explains(loss, record) } }
        when {
            record.separateLosses(unexplained) >= LOSSES_TO_QUARANTINE -> quarantined += record
            record.separateLosses(record.losses) >= LOSSES_TO_QUARANTINE -> doubtful += record.id
        }
    }
    return QuarantineDecision(quarantined.mapTo(LinkedHashSet()) { it.id }, doubtful)
}

/** True if [loss], which counts against [other], is sooner due to this suspect. */
private fun SuspectRecord.explains(loss: ServerLoss, other: SuspectRecord): Boolean {
    val isTied = isContent && other.isContent && losses.size == other.losses.size
    return !isTied && losses.any(loss::isSameRun)
}

/**
 * Servers that end together, as those of one rack do, count once. A content that was never answered is hardly at
 * several servers of a rack at one moment, so that each of its losses counts.
 */
private fun SuspectRecord.separateLosses(losses: List<ServerLoss>): Int {
    if (isContent && completeAtMillis == null) return losses.size
    var count = 0
    var last = Long.MIN_VALUE / 2
    for (loss in losses.sortedBy { it.atMillis }) {
        if (loss.atMillis - last < SAME_MOMENT.inWholeMilliseconds && !loss.isRetry) continue
        count++
        last = loss.atMillis
    }
    return count
}

private val MOST_SUSPECT_FIRST = compareBy<SuspectRecord> { it.completeAtMillis != null }
    .thenByDescending { it.losses.size }
    .thenByDescending { it.position }
    .thenBy { it.id }

/**
 * One loss has many causes, and a second may follow from the first; a third under the same suspect is hardly chance.
 */
private const val LOSSES_TO_QUARANTINE = 3

/** Nodes notice the same event up to this much apart. */
private val SAME_MOMENT: Duration = 100.milliseconds
