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
 * Carries out changes, one at a time per receiver: settles the outstanding order, stores the new intent, sends it and
 * settles it. To settle an order is to send it until its outcome is known and then to store the outcome.
 *
 * An order is sent only if its intent was committed while the lease was held, and the lease is checked again directly
 * before each send.
 */
internal class OrderExecutor(
    private val sender: OrderSender,
    private val intents: IntentRepository,
    private val leases: LeaseManager,
    private val clock: Clock,
    private val mayOrder: (HeldLease, ManagedServer) -> Boolean,
    private val events: EventSink,
    private val settings: OrderSettings,
) {
    private val locks = ConcurrentHashMap<ManagedServer, Mutex>()
    private val lastSends = ConcurrentHashMap<ManagedServer, Moment>()
    private val acceptedAt = ConcurrentHashMap<String, Moment>()

    /** Orders [change] after [preparation], or settles the outstanding order. */
    suspend fun execute(server: ManagedServer, change: ServerChange, preparation: Preparation): ServerChangeResult =
        locks.getOrPut(server) { Mutex() }.withLock { executeLocked(server, change, preparation) }

    private suspend fun executeLocked(
        server: ManagedServer,
        change: ServerChange,
        preparation: Preparation,
    ): ServerChangeResult {
        val heldLease = leases.heldLease(Duty.fleet(server.domain)) ?: return ServerChangeResult.NotLeaseHolder
        if (!mayOrder(heldLease, server)) return heldBack(server, heldLease)
        val current = intents.read(IntentRow.key(server, sender.kind)) ?: return storeUnavailable()
        val outstanding = current.row?.takeUnless { it.settled }
        val obstacle = (if (outstanding == null) preparation.mayBegin() else null) ?: preparation.drain()
        return when {
            obstacle != null && outstanding != null -> notDrained(outstanding)
            obstacle != null -> obstacle
            outstanding == null -> sendNew(heldLease, server, current, change)
            outstanding.change == change -> settle(heldLease, server, current, outstanding)
            else -> settleEarlier(heldLease, server, current, outstanding)
        }
    }

    private suspend fun settleEarlier(
        heldLease: HeldLease,
        server: ManagedServer,
        current: StoredIntent,
        outstanding: IntentRow,
    ): ServerChangeResult {
        val earlier = settle(heldLease, server, current, outstanding)
        if (earlier is ServerChangeResult.Unsettled) return earlier
        return ServerChangeResult.RetryLater("An earlier order was settled first.", settings.pollEvery)
    }

    private suspend fun sendNew(
        heldLease: HeldLease,
        server: ManagedServer,
        current: StoredIntent,
        change: ServerChange,
    ): ServerChangeResult {
        awaitMessageExpiry(server)
        val next = nextIntent(server, heldLease, current.row, change)
        val stored = intents.write(heldLease, current, next) ?: return storeUnavailable()
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
            heldLease.fencingToken,
            IntentRow.operation(server.id, number, heldLease.fencingToken),
            change,
        )
    }

    /** Waits until no copy of the last order can arrive any more, since it must not arrive after the next one. */
    private suspend fun awaitMessageExpiry(server: ManagedServer) {
        val expiresAt = lastSends[server]?.let { it + settings.messageLifetime } ?: return
        val wait = expiresAt - clock.now()
        if (wait.isPositive()) delay(wait)
    }

    /**
     * Sends [intent] until its outcome is known, at most [OrderSettings.sendsPerCall] times.
     *
     * An engine's report counts only after the engine has answered a send of this holder, since it then knows the
     * epoch. With a report alone, the engine would still accept a late copy of the order from an earlier holder.
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
                is Attempt.Pending -> Unit
            }
        }
        if (sender.isGone(server)) return end(heldLease, server, stored, intent, "The host is gone.")
        events.record(FleetEvent.ORDER_UNSETTLED, "server" with server.id, "operation" with intent.operation)
        return ServerChangeResult.Unsettled(
            "The order ${intent.operation} has no certain end yet; it will be sent again.",
        )
    }

    private suspend fun attempt(heldLease: HeldLease, server: ManagedServer, intent: IntentRow): Attempt =
        when (val result = send(heldLease, server, intent) ?: SendResult.NoAnswer) {
            is SendResult.Done -> Attempt.Ended(declined = null)
            is SendResult.Declined -> Attempt.Ended(result.message)
            is SendResult.Fenced -> Attempt.Fenced
            is SendResult.NoAnswer -> Attempt.Pending.also { delay(settings.pollEvery) }
            is SendResult.InProgress -> when {
                waitUntilDone(server, intent) -> Attempt.Ended(declined = null)
                isOverdue(intent) -> Attempt.Ended("The engine did not get there.")
                else -> Attempt.Pending
            }
        }

    private sealed interface Attempt {
        data class Ended(val declined: String?) : Attempt

        data object Fenced : Attempt

        data object Pending : Attempt
    }

    private suspend fun send(heldLease: HeldLease, server: ManagedServer, intent: IntentRow): SendResult? = try {
        leases.runIfHeld(heldLease.duty, heldLease.fencingToken) { sender.send(server, intent, heldLease.fencingToken) }
    } finally {
        lastSends[server] = clock.now()
    }

    private suspend fun waitUntilDone(server: ManagedServer, intent: IntentRow): Boolean {
        repeat(settings.pollsPerSend) {
            if (sender.isDone(server, intent)) return true
            delay(settings.pollEvery)
        }
        return false
    }

    private fun isOverdue(intent: IntentRow): Boolean {
        val since = acceptedAt.getOrPut(intent.operation.value) { clock.now() }
        return clock.now() >= since + settings.changeTimeout
    }

    private suspend fun end(
        heldLease: HeldLease,
        server: ManagedServer,
        stored: StoredIntent,
        intent: IntentRow,
        declined: String?,
    ): ServerChangeResult {
        acceptedAt.remove(intent.operation.value)
        intents.write(heldLease, stored, intent.copy(settled = true, declined = declined))
            ?: return ServerChangeResult.Unsettled(
                "The end of ${intent.operation} could not be stored; the order is settled again.",
            )
        val event = if (declined == null) FleetEvent.ORDER_DONE else FleetEvent.ORDER_DECLINED
        events.record(event, "server" with server.id, "operation" with intent.operation)
        return if (declined == null) ServerChangeResult.Done else ServerChangeResult.Declined(declined)
    }

    private fun heldBack(server: ManagedServer, heldLease: HeldLease): ServerChangeResult {
        events.record(FleetEvent.ORDER_HELD_BACK, "server" with server.id, "for" with heldLease.unresolved)
        return ServerChangeResult.HeldBack(heldLease.unresolved)
    }

    private fun notDrained(outstanding: IntentRow) = ServerChangeResult.Unsettled(
        "The order ${outstanding.operation} is not sent again before the server is drained.",
    )

    private fun storeUnavailable() =
        ServerChangeResult.RetryLater("The intent could not be read or stored; no order was sent.", settings.retryAfter)
}
