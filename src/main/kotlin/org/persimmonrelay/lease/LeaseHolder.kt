package org.persimmonrelay.lease

import org.persimmonrelay.clock.Moment

/**
 * A lease that this process holds until [validUntil] on its own clock, with the heartbeat row at [version].
 *
 * [pendingSince] is when the first renewal to the next beat was sent, null unless its outcome is unknown. [restores] is
 * the table's number of restores for which [version] holds.
 */
internal data class HolderState(
    val row: HeartbeatRow,
    val version: Long,
    val validUntil: Moment,
    val renewAt: Moment,
    val pendingSince: Moment? = null,
    val restores: Long = 0,
)

/** Outcomes of a renewal. */
internal sealed interface HolderEvent {
    /** The renewal, sent at [sentAt], was stored. */
    data class Renewed(val row: HeartbeatRow, val sentAt: Moment) : HolderEvent

    /** The renewal, sent at [sentAt], may or may not have been stored. */
    data class Unanswered(val sentAt: Moment) : HolderEvent

    /** The renewal was not sent. */
    data object NotSent : HolderEvent

    /** The renewal was rejected, since the stored row is [row] at [version]; null when there is none. */
    data class Conflict(val row: HeartbeatRow?, val version: Long) : HolderEvent

    /** After [restores] restores, the stored row is [row] at [version]; null when there is none. */
    data class ReadAfterRestore(val row: HeartbeatRow?, val version: Long, val restores: Long) : HolderEvent
}

/** The next step of a holder. */
internal sealed interface HolderAction {
    data class WaitUntil(val moment: Moment) : HolderAction

    /** Write [row] over [version]. */
    data class Renew(val row: HeartbeatRow, val version: Long) : HolderAction

    /** The table was restored: read which row it has now. */
    data object ReadAfterRestore : HolderAction

    /** Give up the lease: it has expired. */
    data object Lapse : HolderAction
}

/**
 * Decides when a holder renews its lease and when the lease expires. Has no state of its own.
 *
 * The validity counts from before the renewal was sent, while a candidate counts from after the renewal was stored,
 * so the holder stops first. An unanswered renewal extends the validity only once the row shows that it was stored.
 */
internal class LeaseHolder(private val terms: LeaseTerms) {
    /** True while the holder may send under the lease at [now]; to be checked again right before each send. */
    fun maySend(state: HolderState, now: Moment): Boolean = now < state.validUntil - terms.sendMargin

    /** The state after [row] was stored at [version] by a transaction sent at [sentAt]. */
    fun acquired(row: HeartbeatRow, version: Long, sentAt: Moment): HolderState = HolderState(
        row = row,
        version = version,
        validUntil = sentAt + terms.duration,
        renewAt = sentAt + terms.renewEvery,
        restores = row.restores,
    )

    /**
     * The next step, when the table is known to have been restored [restores] times; [unresolved] replaces the row's
     * list of earlier holders in the next renewal.
     */
    fun next(state: HolderState, unresolved: List<HolderId>, restores: Long, now: Moment): HolderAction = when {
        now >= state.validUntil -> HolderAction.Lapse
        now < state.renewAt -> HolderAction.WaitUntil(state.renewAt)
        restores != state.restores -> HolderAction.ReadAfterRestore
        else -> HolderAction.Renew(state.row.copy(beat = state.row.beat + 1, unresolved = unresolved), state.version)
    }

    /** The state after [event]; null when this process does not hold the lease any more. */
    fun onEvent(state: HolderState, event: HolderEvent, now: Moment): HolderState? = when (event) {
        is HolderEvent.Renewed -> acquired(event.row, state.version + 1, event.sentAt)
        is HolderEvent.NotSent -> state.copy(renewAt = now + terms.retryEvery)
        is HolderEvent.Unanswered ->
            state.copy(renewAt = now + terms.retryEvery, pendingSince = state.pendingSince ?: event.sentAt)
        is HolderEvent.Conflict -> conflict(state, event, now)
        is HolderEvent.ReadAfterRestore -> readAfterRestore(state, event, now)
    }

    /** The lease goes on only if the restored row is an earlier one of the same lease; what it renewed counts still. */
    private fun readAfterRestore(state: HolderState, event: HolderEvent.ReadAfterRestore, now: Moment): HolderState? {
        val row = event.row?.takeIf { isSameLease(it, state) } ?: return null
        return HolderState(
            row = row.copy(restores = event.restores),
            version = event.version,
            validUntil = state.validUntil,
            renewAt = now,
            restores = event.restores,
        )
    }

    private fun isSameLease(row: HeartbeatRow, state: HolderState): Boolean =
        row.holder == state.row.holder && row.epoch == state.row.epoch && !row.released

    /** A conflict may come from an own renewal that was stored although its answer was lost. */
    private fun conflict(state: HolderState, event: HolderEvent.Conflict, now: Moment): HolderState? {
        val row = event.row?.takeIf { isSameLease(it, state) } ?: return null
        val since = state.pendingSince.takeIf { row.beat == state.row.beat + 1 }
        val validUntil = if (since == null) state.validUntil else maxOf(state.validUntil, since + terms.duration)
        return state.copy(
            row = row.copy(restores = state.restores),
            version = event.version,
            validUntil = validUntil,
            renewAt = now,
            pendingSince = null,
        )
    }
}
