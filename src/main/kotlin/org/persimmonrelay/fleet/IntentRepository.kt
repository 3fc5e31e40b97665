package org.persimmonrelay.fleet

import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.lease.HeldLease
import org.persimmonrelay.lease.LeaseKeys
import org.persimmonrelay.platform.CommitOutcome
import org.persimmonrelay.platform.Condition
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.platform.Transaction
import org.persimmonrelay.platform.Write

/** Reads and writes intents, always under the lease that the caller holds. */
internal class IntentRepository(private val table: ReliableTable, private val newOperation: () -> OperationId) {
    /** The intent under [key]; null when the store does not answer. */
    suspend fun read(key: String): StoredIntent? {
        val rows = table.read(listOf(key)).getOrNull() ?: return null
        val row = rows.firstOrNull()
        return StoredIntent(key, row?.let { IntentRow.decode(it.value) }, row?.version ?: 0)
    }

    /** Stores [next] over [current] if [heldLease] is still in force; null when that is not certain. */
    suspend fun write(heldLease: HeldLease, current: StoredIntent, next: IntentRow): StoredIntent? {
        val condition =
            if (current.version ==
                0L
            ) {
                Condition.Absent(current.key)
            } else {
                Condition.VersionIs(current.key, current.version)
            }
        val transaction = Transaction(
            operation = newOperation(),
            conditions = listOf(LeaseKeys.stillHeld(heldLease), condition),
            writes = listOf(Write.Put(current.key, next.encode())),
        )
        val committed = table.commit(transaction) is CommitOutcome.Committed
        return if (committed) StoredIntent(current.key, next, current.version + 1) else null
    }
}
