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
 * A call is sent to the plain service only after its claim is certainly stored for this node. If it is unknown whether
 * a claim was stored, the call is refused as not run and the claim is released in the background. A claim is not
 * deleted before the retention has passed, since a row created anew at version 1 could be mistaken for the deleted
 * one; [ClaimSweep] removes it afterwards.
 *
 * [scope] outlives callers and has a supervisor job; [newOperation] returns unique ids.
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
    private val open = ConcurrentHashMap<String, OpenCall>()

    /** Starts the loop that commits claims, in the scope; to be called once. */
    public fun start() {
        committer.start(scope)
    }

    /** Number of calls that run on this node or whose outcome is not stored yet; zero before a node may stop. */
    public val openCalls: Int
        get() = open.size

    override suspend fun run(claim: IdempotencyClaim, call: suspend () -> CallOutcome): IdempotentResult {
        val key = ClaimRow.key(claim)
        val openCall = OpenCall(claim.bodyDigest)
        val earlier = open.putIfAbsent(key, openCall)
        if (earlier != null) return answerLocalRepeat(claim, earlier)
        val newCall = NewCall(claim, key, newRow(claim), openCall)
        return scope.async { claimAndCall(newCall, call) }.await()
    }

    private suspend fun claimAndCall(newCall: NewCall, call: suspend () -> CallOutcome): IdempotentResult =
        when (val result = claim(newCall)) {
            is ClaimResult.Won -> finishCall(newCall, result.version, runCall(call))
            is ClaimResult.Taken -> {
                open.remove(newCall.key)
                answerRepeat(newCall.claim, result.row)
            }
            is ClaimResult.NotStored -> {
                open.remove(newCall.key)
                notStored(newCall.claim, result.message, result.retryAfter)
            }
            is ClaimResult.Unknown -> {
                record(newCall, ClaimState.RELEASED, version = null)
                notStored(newCall.claim, result.message, settings.repeatAfter)
            }
        }

    private suspend fun claim(newCall: NewCall): ClaimResult {
        val result = committer.claim(newCall.key, newCall.row, replacedVersion = null)
        val released = result as? ClaimResult.Taken ?: return result
        if (released.row.state != ClaimState.RELEASED) return result
        return committer.claim(newCall.key, newCall.row, replacedVersion = released.version)
    }

    private suspend fun runCall(call: suspend () -> CallOutcome): CallOutcome = try {
        call()
    } catch (
        @Suppress("TooGenericExceptionCaught") e: Exception,
    ) {
        currentCoroutineContext().ensureActive()
        CallOutcome.Unknown("The call failed (${e.javaClass.simpleName}).")
    }

    private suspend fun finishCall(newCall: NewCall, version: Long, end: CallOutcome): IdempotentResult = when (end) {
        is CallOutcome.Answered -> {
            record(newCall, ClaimState.ANSWERED, version, end.response)
            IdempotentResult.Executed(end.response)
        }
        is CallOutcome.Unknown -> {
            record(newCall, ClaimState.UNKNOWN, version)
            outcomeUnknown(newCall.claim, end.message)
        }
        is CallOutcome.NotSent -> {
            val released = record(newCall, ClaimState.RELEASED, version)
            withTimeoutOrNull(settings.releaseTimeout) { released.join() }
            IdempotencyRefusals.notSent(end.message, settings.repeatAfter)
        }
    }

    private fun record(newCall: NewCall, state: ClaimState, version: Long?, response: RecordedResponse? = null): Job {
        val storable = response?.takeIf { it.body.length <= settings.maxResponseBytes }
        val row = newCall.row.copy(state = state, response = storable)
        newCall.openCall.outcomeRow = row
        return recorder.record(newCall.key, row, version) { open.remove(newCall.key) }
    }

    private fun answerLocalRepeat(claim: IdempotencyClaim, earlier: OpenCall): IdempotentResult {
        val row = earlier.outcomeRow
        return when {
            earlier.bodyDigest != claim.bodyDigest -> keyReused(claim)
            row == null -> IdempotencyRefusals.inProgress(settings.repeatAfter)
            else -> answerRepeat(claim, row)
        }
    }

    private fun answerRepeat(claim: IdempotencyClaim, row: ClaimRow): IdempotentResult = when {
        row.bodyDigest != claim.bodyDigest -> keyReused(claim)
        row.state == ClaimState.ANSWERED -> replayed(claim, row.response)
        row.state == ClaimState.UNKNOWN -> outcomeUnknown(claim, "An earlier call with this key may have run.")
        row.state == ClaimState.RELEASED -> IdempotencyRefusals.notStored(
            "An earlier claim is being released.",
            settings.repeatAfter,
        )
        isRunningElsewhere(row) -> IdempotencyRefusals.inProgress(settings.repeatAfter)
        else -> outcomeUnknown(
            claim,
            "The node that ran the call with this key stopped before its end was recorded.",
        )
    }

    private fun isRunningElsewhere(row: ClaimRow): Boolean =
        row.incarnation != incarnation && liveness.isAlive(row.node, row.incarnation)

    private fun replayed(claim: IdempotencyClaim, response: RecordedResponse?): IdempotentResult {
        if (response == null) return outcomeUnknown(claim, "The call ran; its answer was too large to be kept.")
        events.record(OnceEvent.REPLAYED, "workspace" with claim.workspace)
        return IdempotentResult.Replayed(response)
    }

    private fun keyReused(claim: IdempotencyClaim): IdempotentResult {
        events.record(OnceEvent.KEY_REUSED, "workspace" with claim.workspace)
        return IdempotencyRefusals.keyReused()
    }

    private fun outcomeUnknown(claim: IdempotencyClaim, cause: String): IdempotentResult {
        events.record(OnceEvent.OUTCOME_UNKNOWN, "workspace" with claim.workspace, "cause" with cause)
        return IdempotencyRefusals.outcomeUnknown(cause)
    }

    private fun notStored(claim: IdempotencyClaim, cause: String, retryAfter: Duration): IdempotentResult {
        events.record(OnceEvent.CLAIM_REFUSED, "workspace" with claim.workspace, "cause" with cause)
        return IdempotencyRefusals.notStored(cause, retryAfter)
    }

    private fun newRow(claim: IdempotencyClaim) = ClaimRow(
        claim = newOperation().value,
        bodyDigest = claim.bodyDigest,
        node = node,
        incarnation = incarnation,
        claimedHour = clock.wallMillis().milliseconds.inWholeHours,
        state = ClaimState.CLAIMED,
    )

    private class OpenCall(val bodyDigest: String) {
        /** The row with the outcome, null while the call runs. */
        @Volatile
        var outcomeRow: ClaimRow? = null
    }

    private class NewCall(val claim: IdempotencyClaim, val key: String, val row: ClaimRow, val openCall: OpenCall)
}
