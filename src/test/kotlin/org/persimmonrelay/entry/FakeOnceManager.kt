package org.persimmonrelay.entry

import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.persimmonrelay.once.CallEnd
import org.persimmonrelay.once.OnceAnswer
import org.persimmonrelay.once.OnceClaim
import org.persimmonrelay.once.OnceManager
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal

/** Keeps claims in memory. */
class FakeOnceManager : OnceManager {
    private val lock = Mutex()
    private val ends = HashMap<OnceClaim, CallEnd>()

    override suspend fun run(claim: OnceClaim, call: suspend () -> CallEnd): OnceAnswer = lock.withLock {
        val earlier = ends[claim]
        val end = earlier ?: call().also { ends[claim] = it }
        when (end) {
            is CallEnd.Answered -> if (earlier ==
                null
            ) {
                OnceAnswer.Fresh(end.answer)
            } else {
                OnceAnswer.Replayed(end.answer)
            }
            is CallEnd.NotSent -> OnceAnswer.Refused(Refusal.NotRun(NotRunReason.NO_SERVER, end.message))
            is CallEnd.Unknown -> OnceAnswer.Refused(Refusal.OutcomeUnknown(end.message))
        }
    }
}
