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

    /** Stores [next] over [present] if [heldLease] is still in force; null when that is not certain. */
    suspend fun write(heldLease: HeldLease, present: StoredIntent, next: IntentRow): StoredIntent? {
        val condition =
            if (present.version ==
                0L
            ) {
                Condition.Absent(present.key)
            } else {
                Condition.VersionIs(present.key, present.version)
            }
        val transaction = Transaction(
            operation = newOperation(),
            conditions = listOf(LeaseKeys.stillHeld(heldLease.duty, heldLease.epoch), condition),
            writes = listOf(Write.Put(present.key, next.encode())),
        )
        val committed = table.commit(transaction) is CommitOutcome.Committed
        return if (committed) StoredIntent(present.key, next, present.version + 1) else null
    }
}
