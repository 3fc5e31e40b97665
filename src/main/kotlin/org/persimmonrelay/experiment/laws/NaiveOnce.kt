package org.persimmonrelay.experiment.laws

import org.persimmonrelay.once.CallOutcome
import org.persimmonrelay.once.IdempotencyClaim
import org.persimmonrelay.once.IdempotencyManager
import org.persimmonrelay.once.IdempotentResult
import org.persimmonrelay.once.RecordedResponse
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal
import org.persimmonrelay.platform.TableService
import org.persimmonrelay.platform.Transaction
import org.persimmonrelay.platform.Write

/**
 * Naive idempotency for comparison: looks for a recorded response, else runs the call and records its response,
 * without a claim before the run. A call without a response is refused as "not run", although the service may have
 * executed it.
 */
internal class NaiveOnce(private val table: TableService, private val world: VirtualWorld) : IdempotencyManager {
    override suspend fun run(claim: IdempotencyClaim, call: suspend () -> CallOutcome): IdempotentResult {
        val key = "naive-once/${claim.key}"
        val rows = table.read(listOf(key)).getOrNull() ?: return notRun()
        val row = rows.firstOrNull()
        if (row != null) return IdempotentResult.Replayed(RecordedResponse(STATUS_CREATED, emptyList(), row.value))
        val outcome = call() as? CallOutcome.Answered ?: return notRun()
        val put = Write.Put(key, outcome.response.body)
        table.commit(Transaction(world.newOperation(), emptyList(), listOf(put)))
        return IdempotentResult.Executed(outcome.response)
    }

    private fun notRun(): IdempotentResult =
        IdempotentResult.Refused(Refusal.NotRun(NotRunReason.STORE_UNAVAILABLE, "Not run; try again."))

    private companion object {
        const val STATUS_CREATED = 201
    }
}
