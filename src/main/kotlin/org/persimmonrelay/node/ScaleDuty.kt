package org.persimmonrelay.node

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
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
import org.persimmonrelay.timeline.with
import kotlin.time.Duration.Companion.milliseconds

/** Orders servers while this node holds the duty. Runs on the control thread. */
internal class ScaleDuty(
    private val orders: ScaleOrders,
    private val leases: LeaseManager,
    private val tables: ActiveRouteTable,
    private val directory: BackendDirectory,
    private val node: NodeId,
    private val clock: Clock,
    private val events: EventSink,
) {
    /** One node does all the duties towards the platform, so that one lease is watched. */
    private val duty = Duty.usage(0)
    private val planner = ScalePlanner()
    private var epoch = 0L

    /** Competes for the duty and works whenever this node holds it, until [scope] ends. */
    fun start(scope: CoroutineScope) {
        leases.compete(scope, duty)
        scope.launch {
            while (true) {
                leases.heldLease(duty)?.takeIf { it.isExclusive }?.let { pass(it) }
                delay(PERIOD)
            }
        }
    }

    private suspend fun pass(heldLease: HeldLease) {
        if (heldLease.epoch != epoch) planner.reset()
        epoch = heldLease.epoch
        val table = tables.current ?: return
        table.services.values.filter { it.scaling != null }.forEach { service ->
            planner.plan(service, census(service), clock.now()).forEach { send(it, heldLease) }
        }
    }

    private suspend fun send(order: ScaleOrder, heldLease: HeldLease) {
        val answer = leases.runIfHeld(duty, heldLease.epoch) { orders.send(order, node, heldLease.epoch).getOrNull() }
        planner.recordAnswer(order, answer, clock.now())
        val event = if (answer == null) ScaleEvent.ORDER_UNANSWERED else ScaleEvent.ORDER_ANSWERED
        events.record(
            event,
            "service" with order.service,
            "domain" with order.domain,
            "cheap" with order.isSpot,
            "servers" with order.servers,
            "answer" with answer,
            "epoch" with heldLease.epoch,
        )
    }

    private fun census(service: Service): Map<FailureDomain, DomainServerCounts> {
        val present = directory.view.of(service.id).groupBy { it.domain }
        val domains = present.keys + service.scaling?.prices?.keys.orEmpty()
        return domains.associateWith { census(present[it].orEmpty()) }
    }

    private fun census(servers: List<BackendServer>): DomainServerCounts {
        val cheap = servers.count { it.isSpot }
        return DomainServerCounts(servers.size - cheap, cheap)
    }

    private companion object {
        val PERIOD = 300.milliseconds
    }
}
