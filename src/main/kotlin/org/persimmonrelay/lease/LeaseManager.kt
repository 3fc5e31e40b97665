package org.persimmonrelay.lease

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.launchSupervised
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/**
 * Competes for the leases of duties and tells which of them this process holds.
 *
 * Each duty has one coroutine on the control thread; [heldLease] and [runIfHeld] may be called from any thread.
 * [liveNodes] returns the live nodes, this one included, as an immutable collection that stays the same instance while
 * the membership is unchanged. It affects only how often a node reads a lease, never who may hold it.
 */
public class LeaseManager(
    private val table: ReliableTable,
    private val self: HolderId,
    private val clock: Clock,
    private val random: Random,
    private val evidence: PredecessorEvidence,
    private val liveNodes: () -> Collection<NodeId>,
    private val newOperation: () -> OperationId,
    private val terms: LeaseTerms = LeaseTerms(),
    private val events: EventSink = EventSink.NONE,
) {
    private val duties = ConcurrentHashMap<Duty, DutyLease>()

    @Volatile
    private var stopping = false

    /**
     * Competes for [duty] until [scope] ends or [releaseAll] is called. No effect if this process already does.
     *
     * [candidates] returns the live nodes that compete for this duty, the same instance while they are unchanged.
     */
    public fun compete(scope: CoroutineScope, duty: Duty, candidates: () -> Collection<NodeId> = liveNodes) {
        if (duties.containsKey(duty)) return
        val lease = newLease(duty, candidates)
        if (stopping || duties.putIfAbsent(duty, lease) != null) return
        scope.launchSupervised("lease", events) { lease.run() }
        scope.launchSupervised("earlier holders", events) { lease.resolvePredecessors() }
    }

    /** The lease of [duty] if this process holds it and may send under it now, else null. */
    public fun heldLease(duty: Duty): HeldLease? = duties[duty]?.heldLease(clock.now())

    /** The leases that this process holds now. */
    public fun heldLeases(): List<HeldLease> = duties.keys.mapNotNull(::heldLease)

    /**
     * Calls [send] if this process holds [duty] under the fencing token [token] now. Null when it does not, or when
     * [send] returns null, which stands for a message without an answer.
     */
    public suspend fun <T : Any> runIfHeld(duty: Duty, token: Long, send: suspend () -> T?): T? =
        duties[duty]?.runIfHeld(token, send)

    /** Handles a peer's [StepDownRequest], received by the method [STEP_DOWN]. */
    public fun stepDown(request: StepDownRequest): StepDownAnswer {
        if (request.holder != self) return StepDownAnswer(stopped = false)
        val lease = duties[request.duty] ?: return StepDownAnswer(stopped = true)
        return StepDownAnswer(lease.stepDown(request.epoch))
    }

    /** Stops sending and releases every lease under which no message can still arrive; waits one message lifetime. */
    public suspend fun releaseAll() {
        stopping = true
        duties.values.forEach { it.stop() }
        var attemptsLeft = (terms.messageLifetime / terms.retryEvery).toInt() + 1
        while (duties.values.any { !it.release() } && attemptsLeft-- > 0) delay(terms.retryEvery)
    }

    private fun newLease(duty: Duty, candidates: () -> Collection<NodeId>) = DutyLease(
        duty = duty,
        self = self,
        rows = LeaseRepository(table, newOperation),
        clock = clock,
        jitter = random.nextDouble(),
        evidence = evidence,
        liveNodes = candidates,
        terms = terms,
        events = events,
    )
}
