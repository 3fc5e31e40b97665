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

/** The interfaces that orders go to. */
public data class FleetClients(
    val engines: EngineClient,
    val orders: ServerOrders,
    val hosts: HostList,
    val weights: WeightStore,
)

/**
 * Carries out what the policy decides for the failure domains whose duty this node holds.
 *
 * The policy calls [change] again until it is done; each call settles what is outstanding first. [domains] is the
 * number of failure domains that share the weight store; [orderWait] outlasts a lease, its margin and an order.
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
    private val engines = executor(EngineReceiver(clients.engines, clients.hosts, settings)) { heldLease, server ->
        server.checksFencing || heldLease.isExclusive
    }
    private val platform = executor(PlatformReceiver(clients.orders, settings)) { heldLease, _ ->
        heldLease.isExclusive || clock.now() >= heldLease.since + orderWait
    }

    /** Orders [change] of [server], after a drain where it takes the server away from its work. */
    public suspend fun change(server: ManagedServer, change: ServerChange): ServerChangeResult = when (change) {
        is ServerChange.Engine -> changeEngine(server, change)
        is ServerChange.Start -> platform.execute(server, change, Preparation.NONE)
        is ServerChange.Stop -> platform.execute(server, change, Preparation(mayBegin = { null }) { drained(server) })
    }

    private suspend fun changeEngine(server: ManagedServer, change: ServerChange.Engine): ServerChangeResult {
        var drained = false
        val preparation = Preparation(mayBegin = { if (change is ServerChange.Load) paced(server) else null }) {
            drained = true
            drained(server)
        }
        val result = engines.execute(server, change, preparation)
        if (drained && isOver(result)) drainer.readmit(server.id)
        return result
    }

    /** True when no order to the engine can be under way, so that it may work again. */
    private fun isOver(result: ServerChangeResult): Boolean = result is ServerChangeResult.Done ||
        result is ServerChangeResult.Declined ||
        result is ServerChangeResult.RetryLater

    private suspend fun paced(server: ManagedServer): ServerChangeResult? {
        val wait = pacer.take(server.domain, clock.now())
        if (wait == Duration.ZERO) return null
        events.record(FleetEvent.LOAD_PACED, "server" with server.id, "wait" with wait)
        return ServerChangeResult.RetryLater("The weight store's limit is used up.", wait)
    }

    private suspend fun drained(server: ManagedServer): ServerChangeResult? {
        if (drainer.drain(server.id)) return null
        return ServerChangeResult.RetryLater("The drain of ${server.id} could not be announced.", settings.retryAfter)
    }

    private fun executor(receiver: Receiver, mayOrder: (HeldLease, ManagedServer) -> Boolean) =
        OrderExecutor(receiver, intents, leases, clock, mayOrder, events, settings)
}
