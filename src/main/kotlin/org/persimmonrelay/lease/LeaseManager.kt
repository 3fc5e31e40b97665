package org.persimmonrelay.lease

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.timeline.EventSink
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/**
 * Competes for duties and says which of them this process holds.
 *
 * Each duty has one coroutine on the control thread; [heldLease] and [runIfHeld] may be called from any thread.
 * [liveNodes] is the present membership, this node included: an immutable collection, the same one while nothing
 * has changed. It decides who watches, never who may act.
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
    private var leaving = false

    /**
     * Begins to compete for [duty] until [scope] ends or [releaseAll] was called. No effect when it already does.
     *
     * [candidates] are the live nodes that compete for this duty; the same collection while nothing changes.
     */
    public fun compete(scope: CoroutineScope, duty: Duty, candidates: () -> Collection<NodeId> = liveNodes) {
        if (duties.containsKey(duty)) return
        val lease = newLease(duty, candidates)
        if (leaving || duties.putIfAbsent(duty, lease) != null) return
        scope.launch { lease.run() }
        scope.launch { lease.resolvePredecessors() }
    }

    /** This process's hold of [duty] at this moment; null when it must not act. */
    public fun heldLease(duty: Duty): HeldLease? = duties[duty]?.heldLease(clock.now())

    /** Duties that this process holds at this moment. */
    public fun held(): List<HeldLease> = duties.keys.mapNotNull(::heldLease)

    /**
     * Calls [send] if this process holds [duty] under [epoch] right now; null when it does not, or when [send] gave
     * null, which stands for a message without an answer.
     */
    public suspend fun <T : Any> runIfHeld(duty: Duty, epoch: Long, send: suspend () -> T?): T? =
        duties[duty]?.runIfHeld(epoch, send)

    /** Answers a peer's [StepDownRequest]; to be served under [STEP_DOWN]. */
    public fun stepDown(request: StepDownRequest): StepDownAnswer {
        if (request.holder != self) return StepDownAnswer(stopped = false)
        val lease = duties[request.duty] ?: return StepDownAnswer(stopped = true)
        return StepDownAnswer(lease.stepDown(request.epoch))
    }

    /** Stops acting and gives back every lease whose last message has been answered or has expired. */
    public suspend fun releaseAll() {
        leaving = true
        duties.values.forEach { it.leave() }
        var rounds = (terms.messageLifetime / terms.retryEvery).toInt() + 1
        while (duties.values.any { !it.release() } && rounds-- > 0) delay(terms.retryEvery)
    }

    private fun newLease(duty: Duty, candidates: () -> Collection<NodeId>) = DutyLease(
        duty = duty,
        self = self,
        rows = LeaseRepository(table, newOperation),
        clock = clock,
        pace = random.nextDouble(),
        evidence = evidence,
        liveNodes = candidates,
        terms = terms,
        events = events,
    )
}
