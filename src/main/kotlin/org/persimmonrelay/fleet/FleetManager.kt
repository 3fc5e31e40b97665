package org.persimmonrelay.fleet

import org.persimmonrelay.clock.Clock
import org.persimmonrelay.engine.EngineClient
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.lease.HeldLease
import org.persimmonrelay.lease.LeaseManager
import org.persimmonrelay.platform.HostList
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.platform.ServerOrders
import org.persimmonrelay.platform.WeightStore
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with
import kotlin.time.Duration

/** Interfaces of the engines, the platform and the weight store. */
public data class FleetClients(
    val engines: EngineClient,
    val orders: ServerOrders,
    val hosts: HostList,
    val weights: WeightStore,
)

/**
 * Carries out changes of servers in the failure domains whose fleet lease this node holds.
 *
 * The caller repeats [change] until it is done; each call first settles the outstanding order, if any. [domains] is
 * the number of failure domains that share the weight store. A new holder that can't rule out orders of an earlier one
 * waits [orderWait] before it orders from the platform; it has to cover a lease, its tolerance and an order.
 */
public class FleetManager(
    table: ReliableTable,
    private val leases: LeaseManager,
    clients: FleetClients,
    private val drainer: ServerDrainer,
    private val clock: Clock,
    domains: () -> Int,
    newOperation: () -> OperationId,
    private val orderWait: Duration,
    private val events: EventSink = EventSink.NONE,
    private val settings: OrderSettings = OrderSettings(),
) {
    private val intents = IntentRepository(table, newOperation)
    private val pacer = WeightPacer(clients.weights, domains)
    private val engines = executor(EngineOrderSender(clients.engines, clients.hosts, settings)) { heldLease, server ->
        server.checksFencing || heldLease.isExclusive
    }
    private val platform = executor(PlatformOrderSender(clients.orders, settings)) { heldLease, _ ->
        heldLease.isExclusive || clock.now() >= heldLease.acquiredAt + orderWait
    }

    /** Orders [change] of [server], after a drain unless the server is to be started. */
    public suspend fun change(server: ManagedServer, change: ServerChange): ServerChangeResult = when (change) {
        is ServerChange.Engine -> changeEngine(server, change)
        is ServerChange.Start -> platform.execute(server, change, Preparation.NONE)
        is ServerChange.Stop -> platform.execute(server, change, Preparation(mayBegin = { null }) { drain(server) })
    }

    private suspend fun changeEngine(server: ManagedServer, change: ServerChange.Engine): ServerChangeResult {
        var drained = false
        val preparation = Preparation(mayBegin = { if (change is ServerChange.Load) loadDelay(server) else null }) {
            drained = true
            drain(server)
        }
        val result = engines.execute(server, change, preparation)
        if (drained && isFinished(result)) drainer.readmit(server.id)
        return result
    }

    /** True when no order to the engine can be in progress, so that it may get new work again. */
    private fun isFinished(result: ServerChangeResult): Boolean = result is ServerChangeResult.Done ||
        result is ServerChangeResult.Declined ||
        result is ServerChangeResult.RetryLater

    private suspend fun loadDelay(server: ManagedServer): ServerChangeResult? {
        val wait = pacer.tryAcquire(server.domain, clock.now())
        if (wait == Duration.ZERO) return null
        events.record(FleetEvent.LOAD_PACED, "server" with server.id, "wait" with wait)
        return ServerChangeResult.RetryLater("The weight store's limit of loads per minute is reached.", wait)
    }

    private suspend fun drain(server: ManagedServer): ServerChangeResult? {
        if (drainer.drain(server.id)) return null
        return ServerChangeResult.RetryLater("The drain of ${server.id} could not be announced.", settings.retryAfter)
    }

    private fun executor(sender: OrderSender, mayOrder: (HeldLease, ManagedServer) -> Boolean) =
        OrderExecutor(sender, intents, leases, clock, mayOrder, events, settings)
}
