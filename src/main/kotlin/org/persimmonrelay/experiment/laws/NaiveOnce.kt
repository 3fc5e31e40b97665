package org.persimmonrelay.experiment.laws

import org.persimmonrelay.once.CallEnd
import org.persimmonrelay.once.OnceAnswer
import org.persimmonrelay.once.OnceClaim
import org.persimmonrelay.once.OnceManager
import org.persimmonrelay.once.RecordedAnswer
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal
import org.persimmonrelay.platform.TableService
import org.persimmonrelay.platform.Transaction
import org.persimmonrelay.platform.Write

/**
 * Naive idempotency for comparison: looks for a recorded answer, runs the call, records the answer, and calls
 * a call that gave no answer "not run".
 */
internal class NaiveOnce(private val table: TableService, private val world: VirtualWorld) : OnceManager {
    override suspend fun run(claim: OnceClaim, call: suspend () -> CallEnd): OnceAnswer {
        val key = "naive-once/${claim.key}"
        val rows = table.read(listOf(key)).getOrNull() ?: return notRun()
        val recorded = rows.firstOrNull()
        if (recorded != null) return OnceAnswer.Replayed(RecordedAnswer(STATUS_CREATED, emptyList(), recorded.value))
        val end = call() as? CallEnd.Answered ?: return notRun()
        val put = Write.Put(key, end.answer.body)
        table.commit(Transaction(world.newOperation(), emptyList(), listOf(put)))
        return OnceAnswer.Fresh(end.answer)
    }

    private fun notRun(): OnceAnswer =
        OnceAnswer.Refused(Refusal.NotRun(NotRunReason.STORE_UNAVAILABLE, "Not run; try again."))

    private companion object {
        const val STATUS_CREATED = 201
    }
}
