package org.persimmonrelay.entry

import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.persimmonrelay.once.CallOutcome
import org.persimmonrelay.once.IdempotencyClaim
import org.persimmonrelay.once.IdempotencyManager
import org.persimmonrelay.once.IdempotentResult
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal

/** Stores claims in memory. */
class InMemoryIdempotencyManager : IdempotencyManager {
    private val lock = Mutex()
    private val outcomes = HashMap<IdempotencyClaim, CallOutcome>()

    override suspend fun run(claim: IdempotencyClaim, call: suspend () -> CallOutcome): IdempotentResult =
        lock.withLock {
            val earlier = outcomes[claim]
            val outcome = earlier ?: call().also { outcomes[claim] = it }
            when (outcome) {
                is CallOutcome.Answered -> if (earlier ==
                    null
                ) {
                    IdempotentResult.Executed(outcome.response)
                } else {
                    IdempotentResult.Replayed(outcome.response)
                }
                is CallOutcome.NotSent -> IdempotentResult.Refused(
                    Refusal.NotRun(NotRunReason.NO_SERVER, outcome.message),
                )
                is CallOutcome.Unknown -> IdempotentResult.Refused(Refusal.OutcomeUnknown(outcome.message))
            }
        }
}
