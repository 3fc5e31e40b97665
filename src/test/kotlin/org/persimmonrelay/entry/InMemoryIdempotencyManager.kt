package org.persimmonrelay.entry

import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.persimmonrelay.once.CallEnd
import org.persimmonrelay.once.OnceAnswer
import org.persimmonrelay.once.OnceClaim
import org.persimmonrelay.once.OnceManager
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal

/** Stores claims in memory. */
class InMemoryIdempotencyManager : OnceManager {
    private val lock = Mutex()
    private val outcomes = HashMap<OnceClaim, CallEnd>()

    override suspend fun run(claim: OnceClaim, call: suspend () -> CallEnd): OnceAnswer = lock.withLock {
        val earlier = outcomes[claim]
        val outcome = earlier ?: call().also { outcomes[claim] = it }
        when (outcome) {
            is CallEnd.Answered -> if (earlier ==
                null
            ) {
                OnceAnswer.Fresh(outcome.answer)
            } else {
                OnceAnswer.Replayed(outcome.answer)
            }
            is CallEnd.NotSent -> OnceAnswer.Refused(Refusal.NotRun(NotRunReason.NO_SERVER, outcome.message))
            is CallEnd.Unknown -> OnceAnswer.Refused(Refusal.OutcomeUnknown(outcome.message))
        }
    }
}
