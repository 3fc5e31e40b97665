package org.persimmonrelay.node

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import org.persimmonrelay.backend.BackendDirectory
import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.lease.Duty
import org.persimmonrelay.lease.HeldLease
import org.persimmonrelay.lease.LeaseManager
import org.persimmonrelay.route.ActiveRouteTable
import org.persimmonrelay.route.Service
import org.persimmonrelay.scale.DomainServerCounts
import org.persimmonrelay.scale.ScaleEvent
import org.persimmonrelay.scale.ScaleOrder
import org.persimmonrelay.scale.ScaleOrders
import org.persimmonrelay.scale.ScalePlanner
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.launchSupervised
import org.persimmonrelay.timeline.with
import kotlin.time.Duration.Companion.milliseconds

/** Orders backend servers from the platform while this node holds the lease. Runs on the control thread. */
internal class ScaleDuty(
    private val orders: ScaleOrders,
    private val leases: LeaseManager,
    private val tables: ActiveRouteTable,
    private val directory: BackendDirectory,
    private val node: NodeId,
    private val clock: Clock,
    private val events: EventSink,
) {
    /** The duty of closing usage windows is used here too, so that nodes watch a single lease. */
    private val duty = Duty.usage(0)
    private val planner = ScalePlanner()

    /** The fencing token of the lease for which [planner] has recorded answers. */
    private var plannedToken = 0L

    /** Competes for the duty and plans scaling while this node holds it, until [scope] ends. */
    fun start(scope: CoroutineScope) {
        leases.compete(scope, duty)
        scope.launchSupervised("scaling", events) {
            while (true) {
                leases.heldLease(duty)?.takeIf { it.isExclusive }?.let { runOnce(it) }
                delay(INTERVAL)
            }
        }
    }

    private suspend fun runOnce(heldLease: HeldLease) {
        if (heldLease.fencingToken != plannedToken) planner.reset()
        plannedToken = heldLease.fencingToken
        val table = tables.current ?: return
        table.services.values.filter { it.scaling != null }.forEach { service ->
            planner.plan(service, serverCounts(service), clock.now()).forEach { send(it, heldLease) }
        }
    }

    private suspend fun send(order: ScaleOrder, heldLease: HeldLease) {
        val token = heldLease.fencingToken
        val answer = leases.runIfHeld(duty, token) { orders.send(order, node, token).getOrNull() }
        planner.recordAnswer(order, answer, clock.now())
        val event = if (answer == null) ScaleEvent.ORDER_UNANSWERED else ScaleEvent.ORDER_ANSWERED
        events.record(
            event,
            "service" with order.service,
            "domain" with order.domain,
            "cheap" with order.isSpot,
            "servers" with order.servers,
            "answer" with answer,
            "token" with token,
        )
    }

    private fun serverCounts(service: Service): Map<FailureDomain, DomainServerCounts> {
        val present = directory.view.of(service.id).groupBy { it.domain }
        val domains = present.keys + service.scaling?.prices?.keys.orEmpty()
        return domains.associateWith { serverCounts(present[it].orEmpty()) }
    }

    private fun serverCounts(servers: List<BackendServer>): DomainServerCounts {
        val spot = servers.count { it.isSpot }
        return DomainServerCounts(servers.size - spot, spot)
    }

    private companion object {
        val INTERVAL = 300.milliseconds
    }
}
