/*
 * Some requests end each backend server that begins to run them, whatever node sends them: because of a part of their
 * prompt that others share, or because of all that they ask for. A node that sees a server end can't tell which of the
 * requests there was the cause. Nodes therefore pool what they observe in one ledger, a row of the store. A suspect
 * that was in the requests of several servers that ended, one after the other, and of no complete response since, is
 * quarantined: requests with it are refused.
 */
package org.persimmonrelay.quarantine

import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/**
 * Records of suspects, at most [MAX_RECORDS]. Merging is commutative and idempotent, so that it does not matter in
 * which order and how often nodes exchange their ledgers.
 */
@Serializable
public data class LossLedger(val records: List<SuspectRecord> = emptyList()) {
    /** The record of the suspect with [id], if there is one. */
    public operator fun get(id: String): SuspectRecord? = records.firstOrNull { it.id == id }

    /** The records of this ledger and of [other]; of too many, those with the most losses. */
    public fun merge(other: LossLedger): LossLedger = of((records + other.records).groupBy { it.id }.values)

    /** This ledger with [record] merged into it. */
    public fun merge(record: SuspectRecord): LossLedger = merge(LossLedger(listOf(record)))

    /** Without the records to which nothing was added for [RETENTION] at [nowMillis]. */
    public fun withoutExpired(nowMillis: Long): LossLedger {
        val oldest = nowMillis - RETENTION.inWholeMilliseconds
        return if (records.all { it.newestMillis > oldest }) {
            this
        } else {
            LossLedger(
                records.filter {
                    it.newestMillis >
                        oldest
                },
            )
        }
    }

    public companion object {
        /** No records. */
        public val EMPTY: LossLedger = LossLedger()

        /** How long a record is kept after the last observation. A quarantine thus ends when requests stop coming. */
        public val RETENTION: Duration = 10.minutes

        /** Keeps the row and each node's memory small, however many servers and nodes there are. */
        public const val MAX_RECORDS: Int = 32

        private val ORDER = compareByDescending<SuspectRecord> { it.losses.size }
            .thenByDescending { it.newestMillis }
            .thenBy { it.id }

        private fun of(bySuspect: Collection<List<SuspectRecord>>): LossLedger =
            LossLedger(bySuspect.map(::mergeAll).sortedWith(ORDER).take(MAX_RECORDS))

        /** A single record is merged with itself, which drops the losses that its complete response clears. */
        private fun mergeAll(same: List<SuspectRecord>): SuspectRecord = same.fold(same.first(), SuspectRecord::merge)
    }
}
