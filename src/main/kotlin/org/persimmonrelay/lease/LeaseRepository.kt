package org.persimmonrelay.lease

import arrow.core.Either
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.platform.CommitOutcome
import org.persimmonrelay.platform.Condition
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.platform.Row
import org.persimmonrelay.platform.StoreUnavailable
import org.persimmonrelay.platform.Transaction
import org.persimmonrelay.platform.Write

/** A beat row as stored; version 0 when there is none. */
internal data class StoredBeat(val row: BeatRow?, val version: Long) {
    companion object {
        fun of(row: Row?): StoredBeat = StoredBeat(row?.let { BeatRow.decode(it.value) }, row?.version ?: 0)
    }
}

/** Reads and writes the rows of leases. */
internal class LeaseRepository(private val table: ReliableTable, private val newOperation: () -> OperationId) {
    suspend fun read(duty: Duty): Either<StoreUnavailable, StoredBeat> =
        table.read(listOf(LeaseKeys.beat(duty))).map { StoredBeat.of(it.firstOrNull()) }

    /** Writes [row], whose epoch follows that of the row at [version], and the lease row with it. */
    suspend fun takeOver(duty: Duty, row: BeatRow, version: Long): CommitOutcome {
        val lease = LeaseKeys.lease(duty)
        val previous = row.epoch - 1
        return commit(
            conditions = listOf(beatAt(duty, version), if (previous == 0L) absent(lease) else at(lease, previous)),
            writes = listOf(put(duty, row), Write.Put(lease, LeaseRow(row.holder).encode())),
        )
    }

    /** Writes [row] over [version], by its holder. */
    suspend fun renew(duty: Duty, row: BeatRow, version: Long): CommitOutcome =
        commit(listOf(beatAt(duty, version)), listOf(put(duty, row)))

    private suspend fun commit(conditions: List<Condition>, writes: List<Write>): CommitOutcome =
        table.commit(Transaction(newOperation(), conditions, writes))

    private fun beatAt(duty: Duty, version: Long): Condition =
        if (version == 0L) absent(LeaseKeys.beat(duty)) else at(LeaseKeys.beat(duty), version)

    private fun put(duty: Duty, row: BeatRow) = Write.Put(LeaseKeys.beat(duty), row.encode())

    private fun absent(key: String) = Condition.Absent(key)

    private fun at(key: String, version: Long) = Condition.VersionIs(key, version)
}
