package org.persimmonrelay.entry

import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.persimmonrelay.once.CallOutcome
import org.persimmonrelay.once.IdempotencyClaim
import org.persimmonrelay.once.IdempotencyManager
import org.persimmonrelay.once.IdempotentResult
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal

/** Keeps claims in memory. */
class FakeOnceManager : IdempotencyManager {
    private val lock = Mutex()
    private val ends = HashMap<IdempotencyClaim, CallOutcome>()

    override suspend fun run(claim: IdempotencyClaim, call: suspend () -> CallOutcome): IdempotentResult =
        lock.withLock {
            val earlier = ends[claim]
            val end = earlier ?: call().also { ends[claim] = it }
            when (end) {
                is CallOutcome.Answered -> if (earlier ==
                    null
                ) {
                    IdempotentResult.Executed(end.response)
                } else {
                    IdempotentResult.Replayed(end.response)
                }
                is CallOutcome.NotSent -> IdempotentResult.Refused(Refusal.NotRun(NotRunReason.NO_SERVER, end.message))
                is CallOutcome.Unknown -> IdempotentResult.Refused(Refusal.OutcomeUnknown(end.message))
            }
        }
}
