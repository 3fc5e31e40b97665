package org.persimmonrelay.routing

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.fairness.FairShareLedger
import org.persimmonrelay.identity.WorkspaceId
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal
import kotlin.math.ceil
import kotlin.math.exp
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Estimates how long requests wait on this node, from the backlog and the recent rate of started work, and builds the
 * refusals. Waits are in seconds, work in engine seconds. Not thread-safe.
 */
internal class AdmissionController(
    private val queue: WaitingQueue,
    private val ledger: FairShareLedger,
    private val random: Random,
) {
    private var startedWork = 0.0
    private var busySeconds = 0.0
    private var updatedAt = Moment.ZERO

    /** Work of [cost] engine seconds was started. */
    fun started(cost: Double) {
        startedWork += cost
    }

    /** Advances the time to [now]; [backlogged] is true if requests waited since the last call. */
    fun elapsed(backlogged: Boolean, now: Moment) {
        val seconds = (now - updatedAt).toDouble(DurationUnit.SECONDS)
        updatedAt = now
        if (!backlogged) {
            if (busySeconds > MAX_IDLE_SECONDS) decay(seconds)
            return
        }
        decay(seconds)
        busySeconds += seconds
    }

    /** Expected wait of a further request of [workspace], in seconds. */
    fun expectedWait(workspace: WorkspaceId, weight: Int): Double {
        if (queue.isEmpty) return 0.0
        val rate = serviceRate()
        val others = ledger.backloggedWeight - if (queue.count(workspace) > 0) weight else 0
        val owed = maxOf(0.0, ledger.lead(workspace)) * others * ledger.poolShare
        val share = queue.cost(workspace) * (others + weight) / weight
        return minOf(queue.totalCost, share + owed) / rate
    }

    /**
     * Time after which a caller should retry, given that the expected wait is [overdue] seconds too long. Random, so
     * that callers don't retry all at once.
     */
    fun retryAfter(overdue: Double): Duration {
        val spread = 1 + random.nextDouble() / 2
        return maxOf(1.0, ceil(overdue * spread)).seconds
    }

    fun overloaded(overdue: Double): Refusal.NotRun = Refusal.NotRun(
        NotRunReason.OVERLOADED,
        "More requests wait than can be answered in time; try again after the given time.",
        retryAfter(overdue),
    )

    fun late(): Refusal.NotRun = Refusal.NotRun(
        NotRunReason.DEADLINE,
        "The first token can't come in time; try again after the given time.",
        retryAfter(queue.totalCost / serviceRate()),
    )

    private fun serviceRate(): Double {
        if (busySeconds < MIN_BUSY_SECONDS) return OPTIMISTIC_RATE
        return maxOf(MIN_RATE, startedWork / busySeconds)
    }

    private fun decay(seconds: Double) {
        val factor = exp(-seconds / DECAY_SECONDS)
        startedWork *= factor
        busySeconds *= factor
    }

    private companion object {
        const val DECAY_SECONDS = 4.0
        const val MIN_BUSY_SECONDS = 0.5
        const val MAX_IDLE_SECONDS = 1.0

        /** Engine seconds started per second that are assumed before the rate was measured under load. */
        const val OPTIMISTIC_RATE = 100.0
        const val MIN_RATE = 0.01
    }
}
