package org.persimmonrelay.lease

import org.persimmonrelay.clock.Moment

/**
 * A lease that this process holds. Its authority ends at [bound] on this process's own clock.
 *
 * [pendingSince] is when the first renewal to the next beat was sent, while its end is unknown.
 */
internal data class HolderState(
    val row: BeatRow,
    val version: Long,
    val bound: Moment,
    val renewAt: Moment,
    val pendingSince: Moment? = null,
)

/** What happened to a renewal. */
internal sealed interface HolderEvent {
    /** It was sent at [sentAt] and took effect. */
    data class Renewed(val row: BeatRow, val sentAt: Moment) : HolderEvent

    /** It was sent at [sentAt]; whether it took effect is not known. */
    data class Unanswered(val sentAt: Moment) : HolderEvent

    /** It was not sent. */
    data object NotSent : HolderEvent

    /** The row is [row] at [version] instead; null when it is gone. */
    data class Conflict(val row: BeatRow?, val version: Long) : HolderEvent
}

/** What a holder does next. */
internal sealed interface HolderAction {
    data class WaitUntil(val moment: Moment) : HolderAction

    /** Write [row] over [version]. */
    data class Renew(val row: BeatRow, val version: Long) : HolderAction

    /** The authority has ended. */
    data object Lapse : HolderAction
}

/**
 * Decides for a node that holds a lease.
 *
 * The bound counts from before the renewal was sent, so it can't outlast what a candidate measures from after
 * the renewal took effect. An unanswered renewal advances no bound until the row shows that it took effect.
 */
internal class LeaseHolder(private val terms: LeaseTerms) {
    /** True while the holder may send an order at [now]; checked again right before each send. */
    fun mayAct(state: HolderState, now: Moment): Boolean = now < state.bound - terms.sendMargin

    /** The state after taking over with [row], now at [version], by a transaction sent at [sentAt]. */
    fun taken(row: BeatRow, version: Long, sentAt: Moment): HolderState = HolderState(
        row = row,
        version = version,
        bound = sentAt + terms.duration,
        renewAt = sentAt + terms.renewEvery,
    )

    /** [unresolved] replaces the row's earlier holders in the next renewal. */
    fun next(state: HolderState, unresolved: List<HolderId>, now: Moment): HolderAction = when {
        now >= state.bound -> HolderAction.Lapse
        now < state.renewAt -> HolderAction.WaitUntil(state.renewAt)
        else -> HolderAction.Renew(state.row.copy(beat = state.row.beat + 1, unresolved = unresolved), state.version)
    }

    /** The state after [event]; null when another holds the lease. */
    fun on(state: HolderState, event: HolderEvent, now: Moment): HolderState? = when (event) {
        is HolderEvent.Renewed -> taken(event.row, state.version + 1, event.sentAt)
        is HolderEvent.NotSent -> state.copy(renewAt = now + terms.retryEvery)
        is HolderEvent.Unanswered ->
            state.copy(renewAt = now + terms.retryEvery, pendingSince = state.pendingSince ?: event.sentAt)
        is HolderEvent.Conflict -> conflict(state, event, now)
    }

    /** An own renewal that was given up may have come through after all. */
    private fun conflict(state: HolderState, event: HolderEvent.Conflict, now: Moment): HolderState? {
        val row = event.row ?: return null
        if (row.holder != state.row.holder || row.epoch != state.row.epoch || row.released) return null
        val since = state.pendingSince.takeIf { row.beat == state.row.beat + 1 }
        val bound = if (since == null) state.bound else maxOf(state.bound, since + terms.duration)
        return HolderState(row = row, version = event.version, bound = bound, renewAt = now)
    }
}
