package org.persimmonrelay.lease

import org.persimmonrelay.clock.Moment
import kotlin.time.Duration

/**
 * The heartbeat row as a candidate last read it. [unchangedSince] is when the answer arrived that first showed this
 * version, null before the first read; [lastReadAt] is when the last successful read was sent. [restores] is the
 * table's number of restores at that read.
 */
internal data class CandidateState(
    val row: HeartbeatRow? = null,
    val version: Long = 0,
    val unchangedSince: Moment? = null,
    val lastReadAt: Moment? = null,
    val nextReadAt: Moment,
    val restores: Long = 0,
)

/** Results of a candidate's reads and writes. */
internal sealed interface CandidateEvent {
    /**
     * The row as read by a call that began at [sentAt], from a table that was restored [restores] times; null with
     * version 0 when there is none.
     */
    data class RowRead(val row: HeartbeatRow?, val version: Long, val sentAt: Moment, val restores: Long = 0) :
        CandidateEvent

    /** A read failed or timed out. */
    data object ReadFailed : CandidateEvent

    /** An attempt to take over failed or its outcome is unknown. */
    data object TakeoverFailed : CandidateEvent
}

/** The next step of a candidate. */
internal sealed interface CandidateAction {
    data class WaitUntil(val moment: Moment) : CandidateAction

    data object Read : CandidateAction

    /** Replace [row], which is at [version]; null with version 0 when there is no row. */
    data class TakeOver(val row: HeartbeatRow?, val version: Long) : CandidateAction
}

/**
 * Decides when a node that does not hold a lease takes it over. Has no state of its own.
 *
 * A lease without a holder is taken after a delay that grows with the node's rank; one that this process itself
 * holds according to the row is taken at once. Any other lease is taken only after this process has read the row
 * unchanged for the lease duration plus the tolerance, counted from the answer to the first read that showed it until
 * the sending of the last. A failed read in between restarts the count, since a store that does not answer also keeps
 * a live holder from renewing.
 *
 * After a restore of the table, the latest renewals and takeovers may be lost. A lease that seems free, by a row from
 * before the restore or by the lack of one, is then taken like one that is held, and versions of before count no more.
 */
internal class LeaseCandidate(private val self: HolderId, private val terms: LeaseTerms) {
    fun onEvent(state: CandidateState, event: CandidateEvent, now: Moment): CandidateState = when (event) {
        is CandidateEvent.RowRead -> afterRead(state, event, now)
        is CandidateEvent.ReadFailed -> afterFailedRead(state, now)
        is CandidateEvent.TakeoverFailed -> CandidateState(nextReadAt = now + terms.retryEvery)
    }

    /** [rank] is this node's rank for the duty among [nodes] live ones; [jitter] between 0 and 1 spreads the reads. */
    fun next(state: CandidateState, rank: Int, nodes: Int, jitter: Double, now: Moment): CandidateAction {
        val since = state.unchangedSince
        if (since != null && mayTakeOver(state, since, rank, now)) {
            return CandidateAction.TakeOver(state.row, state.version)
        }
        val readAt = readAt(state, rank, nodes, jitter)
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

    private fun afterRead(state: CandidateState, event: CandidateEvent.RowRead, now: Moment): CandidateState {
        val unchanged = state.unchangedSince != null &&
            state.version == event.version &&
            state.restores == event.restores
        return CandidateState(
            row = event.row,
            version = event.version,
            unchangedSince = if (unchanged) state.unchangedSince else now,
            lastReadAt = event.sentAt,
            nextReadAt = now,
            restores = event.restores,
        )
    }

    private fun mayTakeOver(state: CandidateState, since: Moment, rank: Int, now: Moment): Boolean = when {
        isFree(state) -> now >= since + terms.takeoverStagger * rank
        state.row?.holder == self && isCurrent(state) -> true
        else -> state.lastReadAt!! - since >= terms.duration + terms.tolerance
    }

    private fun isFree(state: CandidateState): Boolean = isCurrent(state) && state.row?.released ?: true

    /** False while a takeover since the row was written may have been lost by a restore. */
    private fun isCurrent(state: CandidateState): Boolean = (state.row?.restores ?: 0) == state.restores

    private fun readAt(state: CandidateState, rank: Int, nodes: Int, jitter: Double): Moment {
        val since = state.unchangedSince ?: return state.nextReadAt
        if (isFree(state)) return since + terms.takeoverStagger * rank
        val period = if (rank < terms.watchers) terms.checkEvery else slowPeriod(nodes)
        val regular = state.nextReadAt + period * (1 - MAX_JITTER_SHARE * jitter)
        val takeoverAt = since + terms.duration + terms.tolerance
        return if (rank < terms.watchers && takeoverAt > state.lastReadAt!!) minOf(regular, takeoverAt) else regular
    }

    /** Read interval of candidates beyond the watchers; grows with [nodes] so that their total rate stays constant. */
    private fun slowPeriod(nodes: Int): Duration = maxOf(terms.checkEvery, terms.slowCheckPerNode * nodes)

    private companion object {
        const val MAX_JITTER_SHARE = 0.2
    }
}
