package org.persimmonrelay.once

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * [IdempotencyManager] over the table service.
 *
 * A call is handed to the plain service only after its claim is certainly stored under this node's name. A claim
 * whose fate is unknown is refused as not run, and released in the background. A claim is never deleted while it
 * counts, since a row that comes back at version 1 could be taken for its predecessor; [ClaimSweep] removes it
 * after the retention.
 *
 * [scope] outlives callers and holds a supervisor job; [newOperation] draws unique ids.
 */
public class TableIdempotencyManager(
    table: ReliableTable,
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val node: NodeId,
    private val incarnation: Incarnation,
    private val liveness: ClaimerLiveness,
    private val newOperation: () -> OperationId,
    private val events: EventSink = EventSink.NONE,
    private val settings: IdempotencySettings = IdempotencySettings(),
) : IdempotencyManager {
    private val committer = ClaimCommitter(table, settings, newOperation)
    private val recorder = OutcomeRecorder(table, scope, clock, settings, newOperation, events)
    private val open = ConcurrentHashMap<String, LocalCall>()

    /** Starts committing claims in the scope; to be called once. */
    public fun start() {
        committer.start(scope)
    }

    /** Calls that run here or whose outcome is not stored yet; a leaving node waits until there are none. */
    public val openCalls: Int
        get() = open.size

    override suspend fun run(claim: IdempotencyClaim, call: suspend () -> CallOutcome): IdempotentResult {
        val key = ClaimRow.key(claim)
        val local = LocalCall(claim.bodyDigest)
        val earlier = open.putIfAbsent(key, local)
        if (earlier != null) return repeatedHere(claim, earlier)
        val first = FirstCall(claim, key, newRow(claim), local)
        return scope.async { claimAndCall(first, call) }.await()
    }

    private suspend fun claimAndCall(first: FirstCall, call: suspend () -> CallOutcome): IdempotentResult =
        when (val result = claim(first)) {
            is ClaimResult.Won -> recordEnd(first, result.version, endOf(call))
            is ClaimResult.Taken -> {
                open.remove(first.key)
                repeated(first.claim, result.row)
            }
            is ClaimResult.NotStored -> {
                open.remove(first.key)
                notStored(first.claim, result.message, result.retryAfter)
            }
            is ClaimResult.Unknown -> {
                record(first, ClaimState.RELEASED, version = null)
                notStored(first.claim, result.message, settings.repeatAfter)
            }
        }

    private suspend fun claim(first: FirstCall): ClaimResult {
        val result = committer.claim(first.key, first.row, over = null)
        val released = result as? ClaimResult.Taken ?: return result
        if (released.row.state != ClaimState.RELEASED) return result
        return committer.claim(first.key, first.row, over = released.version)
    }

    private suspend fun endOf(call: suspend () -> CallOutcome): CallOutcome = try {
        call()
    } catch (
        @Suppress("TooGenericExceptionCaught") e: Exception,
    ) {
        currentCoroutineContext().ensureActive()
        CallOutcome.Unknown("The call failed (${e.javaClass.simpleName}).")
    }

    private suspend fun recordEnd(first: FirstCall, version: Long, end: CallOutcome): IdempotentResult = when (end) {
        is CallOutcome.Answered -> {
            record(first, ClaimState.ANSWERED, version, end.response)
            IdempotentResult.Executed(end.response)
        }
        is CallOutcome.Unknown -> {
            record(first, ClaimState.UNKNOWN, version)
            outcomeUnknown(first.claim, end.message)
        }
        is CallOutcome.NotSent -> {
            val released = record(first, ClaimState.RELEASED, version)
            withTimeoutOrNull(settings.releaseTimeout) { released.join() }
            OnceRefusals.notSent(end.message, settings.repeatAfter)
        }
    }

    private fun record(first: FirstCall, state: ClaimState, version: Long?, answer: RecordedResponse? = null): Job {
        val kept = answer?.takeIf { it.body.length <= settings.maxAnswerBytes }
        val row = first.row.copy(state = state, answer = kept)
        first.local.end = row
        return recorder.record(first.key, row, version) { open.remove(first.key) }
    }

    private fun repeatedHere(claim: IdempotencyClaim, earlier: LocalCall): IdempotentResult {
        val end = earlier.end
        return when {
            earlier.bodyDigest != claim.bodyDigest -> keyReused(claim)
            end == null -> OnceRefusals.inProgress(settings.repeatAfter)
            else -> repeated(claim, end)
        }
    }

    private fun repeated(claim: IdempotencyClaim, row: ClaimRow): IdempotentResult = when {
        row.bodyDigest != claim.bodyDigest -> keyReused(claim)
        row.state == ClaimState.ANSWERED -> replayed(claim, row.answer)
        row.state == ClaimState.UNKNOWN -> outcomeUnknown(claim, "An earlier call with this key may have run.")
        row.state == ClaimState.RELEASED -> OnceRefusals.notStored(
            "An earlier claim is being released.",
            settings.repeatAfter,
        )
        isRunningElsewhere(row) -> OnceRefusals.inProgress(settings.repeatAfter)
        else -> outcomeUnknown(claim, "The node that ran the call with this key stopped before its end was recorded.")
    }

    private fun isRunningElsewhere(row: ClaimRow): Boolean =
        row.incarnation != incarnation && liveness.isAlive(row.node, row.incarnation)

    private fun replayed(claim: IdempotencyClaim, answer: RecordedResponse?): IdempotentResult {
        if (answer == null) return outcomeUnknown(claim, "The call ran; its answer was too large to be kept.")
        events.record(OnceEvent.REPLAYED, "workspace" with claim.workspace)
        return IdempotentResult.Replayed(answer)
    }

    private fun keyReused(claim: IdempotencyClaim): IdempotentResult {
        events.record(OnceEvent.KEY_REUSED, "workspace" with claim.workspace)
        return OnceRefusals.keyReused()
    }

    private fun outcomeUnknown(claim: IdempotencyClaim, cause: String): IdempotentResult {
        events.record(OnceEvent.OUTCOME_UNKNOWN, "workspace" with claim.workspace, "cause" with cause)
        return OnceRefusals.outcomeUnknown(cause)
    }

    private fun notStored(claim: IdempotencyClaim, cause: String, retryAfter: Duration): IdempotentResult {
        events.record(OnceEvent.CLAIM_REFUSED, "workspace" with claim.workspace, "cause" with cause)
        return OnceRefusals.notStored(cause, retryAfter)
    }

    private fun newRow(claim: IdempotencyClaim) = ClaimRow(
        claim = newOperation().value,
        bodyDigest = claim.bodyDigest,
        node = node,
        incarnation = incarnation,
        claimedHour = clock.wallMillis().milliseconds.inWholeHours,
        state = ClaimState.CLAIMED,
    )

    private class LocalCall(val bodyDigest: String) {
        /** The row to be stored, once the call has ended. */
        @Volatile
        var end: ClaimRow? = null
    }

    private class FirstCall(val claim: IdempotencyClaim, val key: String, val row: ClaimRow, val local: LocalCall)
}
