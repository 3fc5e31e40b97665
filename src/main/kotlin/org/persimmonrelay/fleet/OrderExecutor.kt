package org.persimmonrelay.fleet

import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.lease.Duty
import org.persimmonrelay.lease.HeldLease
import org.persimmonrelay.lease.LeaseManager
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
    private val mayOrder: (HeldLease, ManagedServer) -> Boolean,
    private val events: EventSink,
    private val settings: OrderSettings,
) {
    private val locks = ConcurrentHashMap<ManagedServer, Mutex>()
    private val lastSends = ConcurrentHashMap<ManagedServer, Moment>()
    private val takenSince = ConcurrentHashMap<String, Moment>()

    /** Orders [change] after [preparation], or settles what is outstanding. */
    suspend fun execute(server: ManagedServer, change: ServerChange, preparation: Preparation): ServerChangeResult =
        locks.getOrPut(server) { Mutex() }.withLock { executeAlone(server, change, preparation) }

    private suspend fun executeAlone(
        server: ManagedServer,
        change: ServerChange,
        preparation: Preparation,
    ): ServerChangeResult {
        val heldLease = leases.heldLease(Duty.fleet(server.domain)) ?: return ServerChangeResult.NotLeaseHolder
        if (!mayOrder(heldLease, server)) return heldBack(server, heldLease)
        val present = intents.read(IntentRow.key(server, receiver.kind)) ?: return storeSilent()
        val outstanding = present.row?.takeUnless { it.settled }
        val obstacle = (if (outstanding == null) preparation.mayBegin() else null) ?: preparation.drain()
        return when {
            obstacle != null && outstanding != null -> undrained(outstanding)
            obstacle != null -> obstacle
            outstanding == null -> order(heldLease, server, present, change)
            outstanding.change == change -> settle(heldLease, server, present, outstanding)
            else -> settleEarlier(heldLease, server, present, outstanding)
        }
    }

    private suspend fun settleEarlier(
        heldLease: HeldLease,
        server: ManagedServer,
        present: StoredIntent,
        outstanding: IntentRow,
    ): ServerChangeResult {
        val earlier = settle(heldLease, server, present, outstanding)
        if (earlier is ServerChangeResult.Unsettled) return earlier
        return ServerChangeResult.RetryLater("An earlier order was settled first.", settings.askEvery)
    }

    private suspend fun order(
        heldLease: HeldLease,
        server: ManagedServer,
        present: StoredIntent,
        change: ServerChange,
    ): ServerChangeResult {
        awaitQuiet(server)
        val next = nextIntent(server, heldLease, present.row, change)
        val stored = intents.write(heldLease, present, next) ?: return storeSilent()
        return settle(heldLease, server, stored, next)
    }

    private fun nextIntent(
        server: ManagedServer,
        heldLease: HeldLease,
        last: IntentRow?,
        change: ServerChange,
    ): IntentRow {
        val number = (last?.number ?: 0) + 1
        return IntentRow(
            server.id,
            number,
            heldLease.epoch,
            IntentRow.operation(server.id, number, heldLease.epoch),
            change,
        )
    }

    /** A copy of the last order may be on its way, and must not arrive after the next one. */
    private suspend fun awaitQuiet(server: ManagedServer) {
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
        heldLease: HeldLease,
        server: ManagedServer,
        stored: StoredIntent,
        intent: IntentRow,
    ): ServerChangeResult {
        repeat(settings.sendsPerCall) {
            when (val attempt = attempt(heldLease, server, intent)) {
                is Attempt.Ended -> return end(heldLease, server, stored, intent, attempt.declined)
                is Attempt.Fenced -> return ServerChangeResult.NotLeaseHolder
                is Attempt.Open -> Unit
            }
        }
        if (receiver.isGone(server)) return end(heldLease, server, stored, intent, "The host is gone.")
        events.record(FleetEvent.ORDER_UNSETTLED, "server" with server.id, "operation" with intent.operation)
        return ServerChangeResult.Unsettled(
            "The order ${intent.operation} has no certain end yet; it will be sent again.",
        )
    }

    private suspend fun attempt(heldLease: HeldLease, server: ManagedServer, intent: IntentRow): Attempt =
        when (val receipt = send(heldLease, server, intent) ?: Receipt.Silent) {
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

    private suspend fun send(heldLease: HeldLease, server: ManagedServer, intent: IntentRow): Receipt? = try {
        leases.runIfHeld(heldLease.duty, heldLease.epoch) { receiver.send(server, intent, heldLease.epoch) }
    } finally {
        lastSends[server] = clock.now()
    }

    private suspend fun waitUntilDone(server: ManagedServer, intent: IntentRow): Boolean {
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
        heldLease: HeldLease,
        server: ManagedServer,
        stored: StoredIntent,
        intent: IntentRow,
        declined: String?,
    ): ServerChangeResult {
        takenSince.remove(intent.operation.value)
        intents.write(heldLease, stored, intent.copy(settled = true, declined = declined))
            ?: return ServerChangeResult.Unsettled(
                "The end of ${intent.operation} could not be stored; it is settled again.",
            )
        val event = if (declined == null) FleetEvent.ORDER_DONE else FleetEvent.ORDER_DECLINED
        events.record(event, "server" with server.id, "operation" with intent.operation)
        return if (declined == null) ServerChangeResult.Done else ServerChangeResult.Declined(declined)
    }

    private fun heldBack(server: ManagedServer, heldLease: HeldLease): ServerChangeResult {
        events.record(FleetEvent.ORDER_HELD_BACK, "server" with server.id, "for" with heldLease.unresolved)
        return ServerChangeResult.HeldBack(heldLease.unresolved)
    }

    private fun undrained(outstanding: IntentRow) = ServerChangeResult.Unsettled(
        "The order ${outstanding.operation} is not sent again before the server is drained.",
    )

    private fun storeSilent() =
        ServerChangeResult.RetryLater("The intent could not be read or stored; no order was sent.", settings.retryAfter)
}
