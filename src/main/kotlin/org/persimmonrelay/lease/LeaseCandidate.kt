package org.persimmonrelay.lease

import org.persimmonrelay.clock.Moment
import kotlin.time.Duration

/** What a candidate has seen of a beat row. [watchedSince] is null while it has no evidence of silence. */
internal data class CandidateState(
    val row: BeatRow? = null,
    val version: Long = 0,
    val watchedSince: Moment? = null,
    val lastReadAt: Moment? = null,
    val nextReadAt: Moment,
)

/** What happened to a candidate. */
internal sealed interface CandidateEvent {
    /** The row as read by a call that began at [sentAt]; version 0 when there is none. */
    data class RowRead(val row: BeatRow?, val version: Long, val sentAt: Moment) : CandidateEvent

    /** A read gave no answer. */
    data object ReadFailed : CandidateEvent

    /** An attempt to take over failed or has an unknown end. */
    data object TakeoverFailed : CandidateEvent
}

/** What a candidate does next. */
internal sealed interface CandidateAction {
    data class WaitUntil(val moment: Moment) : CandidateAction

    data object Read : CandidateAction

    /** Take over from [row], which is at [version]. */
    data class TakeOver(val row: BeatRow?, val version: Long) : CandidateAction
}

/**
 * Decides when a node that does not hold a lease takes it.
 *
 * A lease that is free or this process's own is taken at once, by rank. Another's is taken only after this
 * process has itself watched the row unchanged for the lease's duration plus the tolerance: from the answer to
 * its first sight of it until before the question that saw it last. A failed read in between makes the evidence
 * unknown, and the watch starts again, since a store that does not answer silences live holders too.
 */
internal class LeaseCandidate(private val self: HolderId, private val terms: LeaseTerms) {
    fun on(state: CandidateState, event: CandidateEvent, now: Moment): CandidateState = when (event) {
        is CandidateEvent.RowRead -> seen(state, event, now)
        is CandidateEvent.ReadFailed -> afterFailedRead(state, now)
        is CandidateEvent.TakeoverFailed -> CandidateState(nextReadAt = now + terms.retryEvery)
    }

    /** [rank] is this node's place among the live nodes for the duty; [pace] between 0 and 1 spreads the reads. */
    fun next(state: CandidateState, rank: Int, nodes: Int, pace: Double, now: Moment): CandidateAction {
        val since = state.watchedSince
        if (since != null && mayTake(state, since, rank, now)) {
            return CandidateAction.TakeOver(state.row, state.version)
        }
        val readAt = readAt(state, rank, nodes, pace)
        return if (now >= readAt) CandidateAction.Read else CandidateAction.WaitUntil(readAt)
    }

    private fun afterFailedRead(state: CandidateState, now: Moment): CandidateState {
        val nextReadAt = now + terms.retryEvery
        return if (terms.failedReadRestartsWatch) {
            CandidateState(
                nextReadAt = nextReadAt,
            )
        } else {
            state.copy(nextReadAt = nextReadAt)
        }
    }

    private fun seen(state: CandidateState, event: CandidateEvent.RowRead, now: Moment): CandidateState {
        val unchanged = state.watchedSince != null && state.version == event.version
        return CandidateState(
            row = event.row,
            version = event.version,
            watchedSince = if (unchanged) state.watchedSince else now,
            lastReadAt = event.sentAt,
            nextReadAt = now,
        )
    }

    private fun mayTake(state: CandidateState, since: Moment, rank: Int, now: Moment): Boolean {
        val row = state.row
        return when {
            row == null || row.released -> now >= since + terms.takeoverStagger * rank
            row.holder == self -> true
            else -> state.lastReadAt!! - since >= terms.duration + terms.tolerance
        }
    }

    private fun readAt(state: CandidateState, rank: Int, nodes: Int, pace: Double): Moment {
        val since = state.watchedSince ?: return state.nextReadAt
        val row = state.row
        if (row == null || row.released) return since + terms.takeoverStagger * rank
        val period = if (rank < terms.watchers) terms.checkEvery else slowPeriod(nodes)
        val regular = state.nextReadAt + period * (1 - PACE_SPREAD * pace)
        val silent = since + terms.duration + terms.tolerance
        return if (rank < terms.watchers && silent > state.lastReadAt!!) minOf(regular, silent) else regular
    }

    /** Keeps the reads of all low-ranked candidates together at a fixed rate, however many they are. */
    private fun slowPeriod(nodes: Int): Duration = maxOf(terms.checkEvery, terms.slowCheckPerNode * nodes)

    private companion object {
        const val PACE_SPREAD = 0.2
    }
}
