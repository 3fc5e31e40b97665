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

/** A heartbeat row as stored; null with version 0 when there is none. */
internal data class StoredHeartbeat(val row: HeartbeatRow?, val version: Long) {
    companion object {
        fun of(row: Row?): StoredHeartbeat =
            StoredHeartbeat(row?.let { HeartbeatRow.decode(it.value) }, row?.version ?: 0)
    }
}

/** Reads and writes the rows of leases. */
internal class LeaseRepository(private val table: ReliableTable, private val newOperation: () -> OperationId) {
    /** The table's number of restores, as far as known. */
    val restores: Long get() = table.restores

    suspend fun read(duty: Duty): Either<StoreUnavailable, StoredHeartbeat> =
        table.read(listOf(LeaseKeys.heartbeat(duty))).map { StoredHeartbeat.of(it.firstOrNull()) }

    /** Writes [row] with the next epoch over the heartbeat row at [version], and the lease row with it. */
    suspend fun takeOver(duty: Duty, row: HeartbeatRow, version: Long): CommitOutcome {
        val lease = LeaseKeys.lease(duty)
        val previous = row.epoch - 1
        return commit(
            readAfter = row.restores,
            conditions = listOf(heartbeatAt(duty, version), if (previous == 0L) absent(lease) else at(lease, previous)),
            writes = listOf(put(duty, row), Write.Put(lease, LeaseRow(row.holder).encode())),
        )
    }

    /** Writes [row] over the heartbeat row at [version]; called by the holder. */
    suspend fun renew(duty: Duty, row: HeartbeatRow, version: Long): CommitOutcome =
        commit(row.restores, listOf(heartbeatAt(duty, version)), listOf(put(duty, row)))

    private suspend fun commit(readAfter: Long, conditions: List<Condition>, writes: List<Write>): CommitOutcome =
        table.commit(Transaction(newOperation(), conditions, writes), readAfter)

    private fun heartbeatAt(duty: Duty, version: Long): Condition =
        if (version == 0L) absent(LeaseKeys.heartbeat(duty)) else at(LeaseKeys.heartbeat(duty), version)

    private fun put(duty: Duty, row: HeartbeatRow) = Write.Put(LeaseKeys.heartbeat(duty), row.encode())

    private fun absent(key: String) = Condition.Absent(key)

    private fun at(key: String, version: Long) = Condition.VersionIs(key, version)
}
