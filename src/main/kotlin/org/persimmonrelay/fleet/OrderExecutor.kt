package org.persimmonrelay.fleet

import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.lease.Duty
import org.persimmonrelay.lease.LeaseManager
import org.persimmonrelay.lease.Tenure
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with
import java.util.concurrent.ConcurrentHashMap

/**
 * Carries changes out, one at a time per receiver: settle the outstanding order, store the intent, send, settle.
 *
 * No order leaves unless its intent was committed while the lease was held, and the authority is checked once more
 * as the last step before each send.
 */
internal class OrderExecutor(
    private val receiver: Receiver,
    private val intents: IntentRepository,
    private val leases: LeaseManager,
    private val clock: Clock,
    private val mayOrder: (Tenure, FleetServer) -> Boolean,
    private val events: EventSink,
    private val settings: FleetSettings,
) {
    private val locks = ConcurrentHashMap<FleetServer, Mutex>()
    private val lastSends = ConcurrentHashMap<FleetServer, Moment>()
    private val takenSince = ConcurrentHashMap<String, Moment>()

    /** Orders [change] after [preparation], or settles what is outstanding. */
    suspend fun execute(server: FleetServer, change: Change, preparation: Preparation): ChangeResult =
        locks.getOrPut(server) { Mutex() }.withLock { executeAlone(server, change, preparation) }

    private suspend fun executeAlone(server: FleetServer, change: Change, preparation: Preparation): ChangeResult {
        val tenure = leases.tenure(Duty.fleet(server.domain)) ?: return ChangeResult.NotInCharge
        if (!mayOrder(tenure, server)) return heldBack(server, tenure)
        val present = intents.read(IntentRow.key(server, receiver.kind)) ?: return storeSilent()
        val outstanding = present.row?.takeUnless { it.settled }
        val obstacle = (if (outstanding == null) preparation.mayBegin() else null) ?: preparation.drain()
        return when {
            obstacle != null && outstanding != null -> undrained(outstanding)
            obstacle != null -> obstacle
            outstanding == null -> order(tenure, server, present, change)
            outstanding.change == change -> settle(tenure, server, present, outstanding)
            else -> settleEarlier(tenure, server, present, outstanding)
        }
    }

    private suspend fun settleEarlier(
        tenure: Tenure,
        server: FleetServer,
        present: StoredIntent,
        outstanding: IntentRow,
    ): ChangeResult {
        val earlier = settle(tenure, server, present, outstanding)
        if (earlier is ChangeResult.Unsettled) return earlier
        return ChangeResult.NotNow("An earlier order was settled first.", settings.askEvery)
    }

    private suspend fun order(
        tenure: Tenure,
        server: FleetServer,
        present: StoredIntent,
        change: Change,
    ): ChangeResult {
        awaitQuiet(server)
        val next = nextIntent(server, tenure, present.row, change)
        val stored = intents.write(tenure, present, next) ?: return storeSilent()
        return settle(tenure, server, stored, next)
    }

    private fun nextIntent(server: FleetServer, tenure: Tenure, last: IntentRow?, change: Change): IntentRow {
        val number = (last?.number ?: 0) + 1
        return IntentRow(server.id, number, tenure.epoch, IntentRow.operation(server.id, number, tenure.epoch), change)
    }

    /** A copy of the last order may be on its way, and must not arrive after the next one. */
    private suspend fun awaitQuiet(server: FleetServer) {
        val quietFrom = lastSends[server]?.let { it + settings.messageLifetime } ?: return
        val wait = quietFrom - clock.now()
        if (wait.isPositive()) delay(wait)
    }

    /**
     * Sends [intent] until its end is certain or the sends of this call are used up.
     *
     * An engine's report counts only after the engine has answered a send of this holder, which has raised its
     * fence; a report alone would leave an earlier holder's copy of the order free to arrive.
     */
    private suspend fun settle(
        tenure: Tenure,
        server: FleetServer,
        stored: StoredIntent,
        intent: IntentRow,
    ): ChangeResult {
        repeat(settings.sendsPerCall) {
            when (val attempt = attempt(tenure, server, intent)) {
                is Attempt.Ended -> return end(tenure, server, stored, intent, attempt.declined)
                is Attempt.Fenced -> return ChangeResult.NotInCharge
                is Attempt.Open -> Unit
            }
        }
        if (receiver.isGone(server)) return end(tenure, server, stored, intent, "The host is gone.")
        events.record(FleetEvent.ORDER_UNSETTLED, "server" with server.id, "operation" with intent.operation)
        return ChangeResult.Unsettled("The order ${intent.operation} has no certain end yet; it will be sent again.")
    }

    private suspend fun attempt(tenure: Tenure, server: FleetServer, intent: IntentRow): Attempt =
        when (val receipt = send(tenure, server, intent) ?: Receipt.Silent) {
            is Receipt.Done -> Attempt.Ended(declined = null)
            is Receipt.Declined -> Attempt.Ended(receipt.message)
            is Receipt.Fenced -> Attempt.Fenced
            is Receipt.Silent -> Attempt.Open.also { delay(settings.askEvery) }
            is Receipt.UnderWay -> when {
                waitUntilDone(server, intent) -> Attempt.Ended(declined = null)
                isOverdue(intent) -> Attempt.Ended("The engine did not get there.")
                else -> Attempt.Open
            }
        }

    private sealed interface Attempt {
        data class Ended(val declined: String?) : Attempt

        data object Fenced : Attempt

        data object Open : Attempt
    }

    private suspend fun send(tenure: Tenure, server: FleetServer, intent: IntentRow): Receipt? = try {
        leases.act(tenure.duty, tenure.epoch) { receiver.send(server, intent, tenure.epoch) }
    } finally {
        lastSends[server] = clock.now()
    }

    private suspend fun waitUntilDone(server: FleetServer, intent: IntentRow): Boolean {
        repeat(settings.asksPerSend) {
            if (receiver.isDone(server, intent)) return true
            delay(settings.askEvery)
        }
        return false
    }

    private fun isOverdue(intent: IntentRow): Boolean {
        val since = takenSince.getOrPut(intent.operation.value) { clock.now() }
        return clock.now() >= since + settings.changeTimeout
    }

    private suspend fun end(
        tenure: Tenure,
        server: FleetServer,
        stored: StoredIntent,
        intent: IntentRow,
        declined: String?,
    ): ChangeResult {
        takenSince.remove(intent.operation.value)
        intents.write(tenure, stored, intent.copy(settled = true, declined = declined))
            ?: return ChangeResult.Unsettled("The end of ${intent.operation} could not be stored; it is settled again.")
        val event = if (declined == null) FleetEvent.ORDER_DONE else FleetEvent.ORDER_DECLINED
        events.record(event, "server" with server.id, "operation" with intent.operation)
        return if (declined == null) ChangeResult.Done else ChangeResult.Declined(declined)
    }

    private fun heldBack(server: FleetServer, tenure: Tenure): ChangeResult {
        events.record(FleetEvent.ORDER_HELD_BACK, "server" with server.id, "for" with tenure.unresolved)
        return ChangeResult.HeldBack(tenure.unresolved)
    }

    private fun undrained(outstanding: IntentRow) =
        ChangeResult.Unsettled("The order ${outstanding.operation} is not sent again before the server is drained.")

    private fun storeSilent() =
        ChangeResult.NotNow("The intent could not be read or stored; no order was sent.", settings.retryAfter)
}
