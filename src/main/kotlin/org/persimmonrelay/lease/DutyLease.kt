package org.persimmonrelay.lease

import kotlinx.coroutines.delay
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.platform.CommitOutcome
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with

/**
 * Competes for the lease of one duty and renews it while this process holds it.
 *
 * [run] and [resolvePredecessors] are its loops, on the control thread. [jitter], between 0 and 1, spreads the reads.
 */
internal class DutyLease(
    private val duty: Duty,
    private val self: HolderId,
    private val rows: LeaseRepository,
    private val clock: Clock,
    private val jitter: Double,
    private val evidence: PredecessorEvidence,
    private val liveNodes: () -> Collection<NodeId>,
    private val terms: LeaseTerms,
    private val events: EventSink,
) {
    private val candidate = LeaseCandidate(self, terms)
    private val holder = LeaseHolder(terms)
    private val gate = SendGate(terms.messageLifetime)
    private var rankedNodes: Collection<NodeId> = emptyList()
    private var rank = 0
    private var watch = CandidateState(nextReadAt = clock.now())

    @Volatile
    private var held: Holding? = null

    @Volatile
    private var stopping = false

    private data class Holding(val state: HolderState, val unresolved: List<HolderId>, val acquiredAt: Moment) {
        val epoch: Long get() = state.row.epoch
        val token: Long get() = fencingToken(state.restores, epoch)
    }

    fun heldLease(now: Moment): HeldLease? {
        val current = held ?: return null
        if (stopping || !holder.maySend(current.state, now)) return null
        return HeldLease(duty, current.epoch, current.unresolved, current.acquiredAt, current.state.restores)
    }

    suspend fun <T : Any> runIfHeld(token: Long, send: suspend () -> T?): T? {
        if (!gate.beginSend(token)) return null
        try {
            return if (heldLease(clock.now())?.fencingToken == token) send() else null
        } finally {
            gate.endSend(token, clock.now())
        }
    }

    fun stepDown(token: Long): Boolean {
        if (held?.let { it.token <= token } == true) endHolding(LeaseEvent.STEPPED_DOWN)
        return gate.close(token, clock.now())
    }

    fun stop() {
        stopping = true
    }

    /** Releases the lease if no message can still arrive; true when this process does not hold it any more. */
    suspend fun release(): Boolean {
        val current = held ?: return true
        if (!gate.close(current.token, clock.now())) return false
        val last = current.state.row.copy(beat = current.state.row.beat + 1, released = true)
        val outcome = rows.renew(duty, last.copy(unresolved = current.unresolved), current.state.version)
        if (outcome is CommitOutcome.Committed) endHolding(LeaseEvent.RELEASED)
        if (outcome is CommitOutcome.Conflict) applyEvent(current, conflict(outcome))
        return held == null
    }

    suspend fun run() {
        while (!stopping) {
            val current = held
            if (current == null) stepAsCandidate() else stepAsHolder(current)
        }
    }

    private suspend fun stepAsCandidate() {
        val now = clock.now()
        updateRank(liveNodes())
        when (val action = candidate.next(watch, rank, rankedNodes.size, jitter, now)) {
            is CandidateAction.WaitUntil -> delay(minOf(action.moment - now, terms.checkEvery))
            is CandidateAction.Read -> read(now)
            is CandidateAction.TakeOver -> takeOver(action, now)
        }
    }

    /** Recomputes the rank only when the collection is another instance, since ranking visits every node. */
    private fun updateRank(nodes: Collection<NodeId>) {
        if (nodes === rankedNodes) return
        rankedNodes = nodes
        rank = LeaseRank.of(self.node, duty, nodes)
    }

    private suspend fun read(sentAt: Moment) {
        val event = rows.read(duty).fold(
            { CandidateEvent.ReadFailed },
            { CandidateEvent.RowRead(it.row, it.version, sentAt, rows.restores) },
        )
        val restarted = event is CandidateEvent.ReadFailed && watch.unchangedSince != null
        if (restarted) events.record(LeaseEvent.WATCH_RESTARTED, "duty" with duty)
        watch = candidate.onEvent(watch, event, clock.now())
    }

    private suspend fun takeOver(action: CandidateAction.TakeOver, sentAt: Moment) {
        val old = action.row
        val unresolved = old?.let(::unresolvedAfter).orEmpty()
        val row = HeartbeatRow(
            holder = self,
            epoch = (old?.epoch ?: 0) + 1,
            beat = 0,
            unresolved = unresolved,
            restores = watch.restores,
        )
        val outcome = rows.takeOver(duty, row, action.version)
        if (outcome !is CommitOutcome.Committed) {
            watch = candidate.onEvent(watch, CandidateEvent.TakeoverFailed, clock.now())
            return
        }
        held = Holding(holder.acquired(row, action.version + 1, sentAt), unresolved, clock.now())
        val event = if (unresolved.isEmpty()) LeaseEvent.TAKEN_FREE else LeaseEvent.TAKEN_OVER
        events.record(event, "duty" with duty, "epoch" with row.epoch, "restores" with row.restores)
    }

    /**
     * Earlier holders whose messages may still arrive after a takeover from [old]. A released row proves that its
     * holder sends nothing more. An unreleased earlier lease of this process itself counts like any other.
     */
    private fun unresolvedAfter(old: HeartbeatRow): List<HolderId> {
        val last = if (old.released) emptyList() else listOf(old.holder)
        return (old.unresolved + last).distinct()
    }

    private suspend fun stepAsHolder(current: Holding) {
        val now = clock.now()
        when (val action = holder.next(current.state, current.unresolved, rows.restores, now)) {
            is HolderAction.WaitUntil -> delay(action.moment - now)
            is HolderAction.Lapse -> endHolding(LeaseEvent.LAPSED)
            is HolderAction.Renew -> renew(action, now)
            is HolderAction.ReadAfterRestore -> readAfterRestore(current)
        }
    }

    private suspend fun readAfterRestore(current: Holding) {
        val event = rows.read(duty).fold(
            { HolderEvent.NotSent },
            { HolderEvent.ReadAfterRestore(it.row, it.version, rows.restores) },
        )
        if (event is HolderEvent.ReadAfterRestore) events.record(LeaseEvent.READ_AFTER_RESTORE, "duty" with duty)
        applyEvent(current, event)
    }

    private suspend fun renew(action: HolderAction.Renew, sentAt: Moment) {
        val event = when (val outcome = rows.renew(duty, action.row, action.version)) {
            is CommitOutcome.Committed -> HolderEvent.Renewed(action.row, sentAt)
            is CommitOutcome.NotSent -> HolderEvent.NotSent
            is CommitOutcome.Unknown -> HolderEvent.Unanswered(sentAt)
            is CommitOutcome.Conflict -> conflict(outcome)
        }
        held?.let { applyEvent(it, event) }
    }

    private fun conflict(outcome: CommitOutcome.Conflict): HolderEvent =
        StoredHeartbeat.of(outcome.current.firstOrNull()).let { HolderEvent.Conflict(it.row, it.version) }

    private fun applyEvent(current: Holding, event: HolderEvent) {
        val state = holder.onEvent(current.state, event, clock.now())
        if (state == null) endHolding(LeaseEvent.LOST) else held = current.copy(state = state)
    }

    /**
     * While this process holds the lease, checks whether the earlier holders have stopped. Evidence is discarded when
     * the lease changes, since an earlier holder may have held the lease again in between.
     */
    suspend fun resolvePredecessors() {
        val stoppedAt = mutableMapOf<HolderId, Moment>()
        var token = 0L
        while (!stopping) {
            delay(terms.checkEvery)
            val current = held ?: continue
            if (current.token != token) stoppedAt.clear()
            token = current.token
            current.unresolved.forEach { if (it !in stoppedAt && hasStopped(current, it)) stoppedAt[it] = clock.now() }
            val stopped = current.unresolved.filter { haveMessagesExpired(stoppedAt[it]) }
            if (stopped.isNotEmpty()) resolve(current.token, stopped)
        }
    }

    private suspend fun hasStopped(current: Holding, earlier: HolderId): Boolean {
        val lastEarlierToken = current.token - 1
        if (earlier == self) return gate.close(lastEarlierToken, clock.now())
        val stopped = evidence.hasStopped(duty, lastEarlierToken, earlier)
        if (!stopped) events.record(LeaseEvent.PREDECESSOR_UNKNOWN, "duty" with duty, "holder" with earlier)
        return stopped
    }

    /** Messages sent before a process stopped may arrive for up to the message lifetime. */
    private fun haveMessagesExpired(stoppedAt: Moment?): Boolean =
        stoppedAt != null && clock.now() >= stoppedAt + terms.messageLifetime

    private fun resolve(token: Long, stopped: List<HolderId>) {
        val current = held?.takeIf { it.token == token } ?: return
        held = current.copy(unresolved = current.unresolved - stopped.toSet())
        events.record(LeaseEvent.PREDECESSOR_STOPPED, "duty" with duty, "holders" with stopped)
    }

    private fun endHolding(event: LeaseEvent) {
        val current = held ?: return
        held = null
        watch = CandidateState(nextReadAt = clock.now())
        events.record(event, "duty" with duty, "epoch" with current.epoch)
    }
}
