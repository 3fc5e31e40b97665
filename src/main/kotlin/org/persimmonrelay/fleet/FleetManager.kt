package org.persimmonrelay.fleet

import org.persimmonrelay.clock.Clock
import org.persimmonrelay.engine.EngineClient
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.lease.LeaseManager
import org.persimmonrelay.lease.Tenure
import org.persimmonrelay.platform.HostList
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.platform.ServerOrders
import org.persimmonrelay.platform.WeightStore
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with
import kotlin.time.Duration

/** The interfaces that orders go to. */
public data class FleetReceivers(
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
    receivers: FleetReceivers,
    private val drains: Drains,
    private val clock: Clock,
    domains: () -> Int,
    newOperation: () -> OperationId,
    private val orderWait: Duration,
    private val events: EventSink = EventSink.NONE,
    private val settings: FleetSettings = FleetSettings(),
) {
    private val intents = IntentRepository(table, newOperation)
    private val pacer = WeightPacer(receivers.weights, domains)
    private val engines = executor(EngineReceiver(receivers.engines, receivers.hosts, settings)) { tenure, server ->
        server.checksFencing || tenure.isSole
    }
    private val platform = executor(PlatformReceiver(receivers.orders, settings)) { tenure, _ ->
        tenure.isSole || clock.now() >= tenure.since + orderWait
    }

    /** Orders [change] of [server], after a drain where it takes the server away from its work. */
    public suspend fun change(server: FleetServer, change: Change): ChangeResult = when (change) {
        is Change.Engine -> changeEngine(server, change)
        is Change.Start -> platform.execute(server, change, Preparation.NONE)
        is Change.Stop -> platform.execute(server, change, Preparation(mayBegin = { null }) { drained(server) })
    }

    private suspend fun changeEngine(server: FleetServer, change: Change.Engine): ChangeResult {
        var drained = false
        val preparation = Preparation(mayBegin = { if (change is Change.Load) paced(server) else null }) {
            drained = true
            drained(server)
        }
        val result = engines.execute(server, change, preparation)
        if (drained && isOver(result)) drains.readmit(server.id)
        return result
    }

    /** True when no order to the engine can be under way, so that it may work again. */
    private fun isOver(result: ChangeResult): Boolean =
        result is ChangeResult.Done || result is ChangeResult.Declined || result is ChangeResult.NotNow

    private suspend fun paced(server: FleetServer): ChangeResult? {
        val wait = pacer.take(server.domain, clock.now())
        if (wait == Duration.ZERO) return null
        events.record(FleetEvent.LOAD_PACED, "server" with server.id, "wait" with wait)
        return ChangeResult.NotNow("The weight store's limit is used up.", wait)
    }

    private suspend fun drained(server: FleetServer): ChangeResult? {
        if (drains.drain(server.id)) return null
        return ChangeResult.NotNow("The drain of ${server.id} could not be announced.", settings.retryAfter)
    }

    private fun executor(receiver: Receiver, mayOrder: (Tenure, FleetServer) -> Boolean) =
        OrderExecutor(receiver, intents, leases, clock, mayOrder, events, settings)
}
