package org.persimmonrelay.lease

import kotlinx.coroutines.delay
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.platform.CommitOutcome
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with

/** Drives one duty of one process: candidate, holder, candidate again. The loops run on the control thread. */
internal class DutyLease(
    private val duty: Duty,
    private val self: HolderId,
    private val rows: LeaseRepository,
    private val clock: Clock,
    private val pace: Double,
    private val evidence: PredecessorEvidence,
    private val liveNodes: () -> Collection<NodeId>,
    private val terms: LeaseTerms,
    private val events: EventSink,
) {
    private val candidate = LeaseCandidate(self, terms)
    private val holder = LeaseHolder(terms)
    private val gate = AuthorityGate(terms.messageLifetime)
    private var ranked: Collection<NodeId> = emptyList()
    private var rank = 0
    private var watch = CandidateState(nextReadAt = clock.now())

    @Volatile
    private var held: Held? = null

    @Volatile
    private var leaving = false

    private data class Held(val state: HolderState, val unresolved: List<HolderId>, val since: Moment) {
        val epoch: Long get() = state.row.epoch
    }

    fun heldLease(now: Moment): HeldLease? {
        val present = held ?: return null
        if (leaving || !holder.mayAct(present.state, now)) return null
        return HeldLease(duty, present.epoch, present.unresolved, present.since)
    }

    suspend fun <T : Any> runIfHeld(epoch: Long, send: suspend () -> T?): T? {
        if (!gate.enter(epoch)) return null
        try {
            return if (heldLease(clock.now())?.epoch == epoch) send() else null
        } finally {
            gate.leave(epoch, clock.now())
        }
    }

    fun stepDown(epoch: Long): Boolean {
        if (held?.let { it.epoch <= epoch } == true) lose(LeaseEvent.STEPPED_DOWN)
        return gate.close(epoch, clock.now())
    }

    fun leave() {
        leaving = true
    }

    /** True when there is nothing left to give back. */
    suspend fun release(): Boolean {
        val present = held ?: return true
        if (!gate.close(present.epoch, clock.now())) return false
        val last = present.state.row.copy(beat = present.state.row.beat + 1, released = true)
        val outcome = rows.renew(duty, last.copy(unresolved = present.unresolved), present.state.version)
        if (outcome is CommitOutcome.Committed) lose(LeaseEvent.RELEASED)
        if (outcome is CommitOutcome.Conflict) adopt(present, conflict(outcome))
        return held == null
    }

    suspend fun run() {
        while (!leaving) {
            val present = held
            if (present == null) stepAsCandidate() else stepAsHolder(present)
        }
    }

    private suspend fun stepAsCandidate() {
        val now = clock.now()
        rankAnew(liveNodes())
        when (val action = candidate.next(watch, rank, ranked.size, pace, now)) {
            is CandidateAction.WaitUntil -> delay(minOf(action.moment - now, terms.checkEvery))
            is CandidateAction.Read -> read(now)
            is CandidateAction.TakeOver -> takeOver(action, now)
        }
    }

    /** Ranking looks at every node, so it is done again only when the membership is another one. */
    private fun rankAnew(nodes: Collection<NodeId>) {
        if (nodes === ranked) return
        ranked = nodes
        rank = LeaseRank.of(self.node, duty, nodes)
    }

    private suspend fun read(sentAt: Moment) {
        val event = rows.read(duty).fold(
            { CandidateEvent.ReadFailed },
            { CandidateEvent.RowRead(it.row, it.version, sentAt) },
        )
        val restarted = event is CandidateEvent.ReadFailed && watch.watchedSince != null
        if (restarted) events.record(LeaseEvent.WATCH_RESTARTED, "duty" with duty)
        watch = candidate.on(watch, event, clock.now())
    }

    private suspend fun takeOver(action: CandidateAction.TakeOver, sentAt: Moment) {
        val old = action.row
        val unresolved = old?.let(::unresolvedAfter).orEmpty()
        val row = BeatRow(self, epoch = (old?.epoch ?: 0) + 1, beat = 0, unresolved = unresolved)
        val outcome = rows.takeOver(duty, row, action.version)
        if (outcome !is CommitOutcome.Committed) {
            watch = candidate.on(watch, CandidateEvent.TakeoverFailed, clock.now())
            return
        }
        held = Held(holder.taken(row, action.version + 1, sentAt), unresolved, clock.now())
        val event = if (unresolved.isEmpty()) LeaseEvent.TAKEN_FREE else LeaseEvent.TAKEN_OVER
        events.record(event, "duty" with duty, "epoch" with row.epoch)
    }

    /** A release proves that its holder stopped. This process's own earlier sends may be under way like others'. */
    private fun unresolvedAfter(old: BeatRow): List<HolderId> {
        val last = if (old.released) emptyList() else listOf(old.holder)
        return (old.unresolved + last).distinct()
    }

    private suspend fun stepAsHolder(present: Held) {
        val now = clock.now()
        when (val action = holder.next(present.state, present.unresolved, now)) {
            is HolderAction.WaitUntil -> delay(action.moment - now)
            is HolderAction.Lapse -> lose(LeaseEvent.LAPSED)
            is HolderAction.Renew -> renew(action, now)
        }
    }

    private suspend fun renew(action: HolderAction.Renew, sentAt: Moment) {
        val event = when (val outcome = rows.renew(duty, action.row, action.version)) {
            is CommitOutcome.Committed -> HolderEvent.Renewed(action.row, sentAt)
            is CommitOutcome.NotSent -> HolderEvent.NotSent
            is CommitOutcome.Unknown -> HolderEvent.Unanswered(sentAt)
            is CommitOutcome.Conflict -> conflict(outcome)
        }
        held?.let { adopt(it, event) }
    }

    private fun conflict(outcome: CommitOutcome.Conflict): HolderEvent =
        StoredBeat.of(outcome.current.firstOrNull()).let { HolderEvent.Conflict(it.row, it.version) }

    private fun adopt(present: Held, event: HolderEvent) {
        val state = holder.on(present.state, event, clock.now())
        if (state == null) lose(LeaseEvent.LOST) else held = present.copy(state = state)
    }

    /**
     * Looks for proof that earlier holders have stopped, while this process holds the duty. Proof counts for one
     * epoch only, since a holder that had stopped may have held the duty again in between.
     */
    suspend fun resolvePredecessors() {
        val seen = mutableMapOf<HolderId, Moment>()
        var epoch = 0L
        while (!leaving) {
            delay(terms.checkEvery)
            val present = held ?: continue
            if (present.epoch != epoch) seen.clear()
            epoch = present.epoch
            present.unresolved.forEach { if (it !in seen && hasStopped(present, it)) seen[it] = clock.now() }
            val quiet = present.unresolved.filter { isQuiet(seen[it]) }
            if (quiet.isNotEmpty()) resolve(present.epoch, quiet)
        }
    }

    private suspend fun hasStopped(present: Held, earlier: HolderId): Boolean {
        val before = present.epoch - 1
        if (earlier == self) return gate.close(before, clock.now())
        val stopped = evidence.hasStopped(duty, before, earlier)
        if (!stopped) events.record(LeaseEvent.PREDECESSOR_UNKNOWN, "duty" with duty, "holder" with earlier)
        return stopped
    }

    /** What a process sent before it stopped may arrive for the lifetime of a message. */
    private fun isQuiet(stoppedAt: Moment?): Boolean =
        stoppedAt != null && clock.now() >= stoppedAt + terms.messageLifetime

    private fun resolve(epoch: Long, quiet: List<HolderId>) {
        val present = held?.takeIf { it.epoch == epoch } ?: return
        held = present.copy(unresolved = present.unresolved - quiet.toSet())
        events.record(LeaseEvent.PREDECESSOR_STOPPED, "duty" with duty, "holders" with quiet)
    }

    private fun lose(event: LeaseEvent) {
        val present = held ?: return
        held = null
        watch = CandidateState(nextReadAt = clock.now())
        events.record(event, "duty" with duty, "epoch" with present.epoch)
    }
}
