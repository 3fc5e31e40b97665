package org.persimmonrelay.node

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.backend.EngineStage
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.lease.Duty
import org.persimmonrelay.lease.HeldLease
import org.persimmonrelay.lease.LeaseManager
import org.persimmonrelay.route.Service
import org.persimmonrelay.scale.DomainServerCounts
import org.persimmonrelay.scale.ScaleEvent
import org.persimmonrelay.scale.ScaleOrder
import org.persimmonrelay.scale.ScaleOrders
import org.persimmonrelay.scale.ServiceFleet
import org.persimmonrelay.scale.ServiceLoad
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.launchSupervised
import org.persimmonrelay.timeline.with
import java.util.Locale
import kotlin.time.Duration.Companion.milliseconds

/** Orders backend servers from the platform while this node holds the lease. Runs on the control thread. */
internal class ScaleDuty(
    private val orders: ScaleOrders,
    private val leases: LeaseManager,
    private val inputs: ScaleInputs,
    private val node: NodeId,
    private val clock: Clock,
    private val events: EventSink,
) {
    /** The duty of closing usage windows is used here too, so that nodes watch a single lease. */
    private val duty = Duty.usage(0)
    private var tenure: ScaleTenure? = null

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
        val table = inputs.tables.current ?: return
        if (!inputs.directory.isLoaded) return
        val current = tenureOf(heldLease)
        if (current.asksAt(clock.now())) inputs.demand.collect().forEach { current.loads.record(it, clock.now()) }
        table.services.values.filter { it.scaling != null }.forEach { plan(it, current) }
    }

    /** Another node may have sent other orders since the last lease, so each lease begins anew. */
    private fun tenureOf(heldLease: HeldLease): ScaleTenure = tenure?.takeIf { it.token == heldLease.fencingToken }
        ?: ScaleTenure(heldLease.fencingToken, isFirst = heldLease.epoch == 1L, inputs.regions).also { tenure = it }

    private suspend fun plan(service: Service, current: ScaleTenure) {
        val now = clock.now()
        val fleet = fleet(service)
        val load = current.loads.load(service.id, now)
        val targets = current.targets.update(service, fleet, load, now) ?: return
        if (current.changes(service.id, targets)) recordTargets(service, fleet, targets, load, current)
        current.planner.plan(service, fleet.counts, targets, now).forEach { send(it, current) }
    }

    private fun recordTargets(
        service: Service,
        fleet: ServiceFleet,
        targets: Map<FailureDomain, Int>,
        load: Map<FailureDomain, ServiceLoad>,
        current: ScaleTenure,
    ) {
        val total = load.values.fold(ServiceLoad(), ServiceLoad::plus)
        events.record(
            ScaleEvent.TARGETS_CHANGED,
            "service" with service.id,
            "servers" with targets.entries.joinToString(",") { "${it.key}:${it.value}" },
            "present" with fleet.counts.values.sumOf { it.total },
            "busyEngines" with "%.2f".format(Locale.ROOT, total.busyEngines),
            "usedSlots" with "%.1f".format(Locale.ROOT, total.usedSlots),
            "prefillShare" with "%.2f".format(Locale.ROOT, fleet.prefillShare),
            "nodesHeard" with current.loads.nodesHeard,
        )
    }

    private suspend fun send(order: ScaleOrder, current: ScaleTenure) {
        val token = current.token
        val answer = leases.runIfHeld(duty, token) { orders.send(order, node, token).getOrNull() }
        current.planner.recordAnswer(order, answer, clock.now())
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

    private fun fleet(service: Service): ServiceFleet {
        val servers = inputs.directory.view.of(service.id)
        val present = servers.groupBy { it.domain }
        val domains = present.keys + service.scaling?.prices?.keys.orEmpty()
        return ServiceFleet(domains.associateWith { serverCounts(present[it].orEmpty()) }, prefillShare(servers))
    }

    /** 1 where each engine does all stages. */
    private fun prefillShare(servers: List<BackendServer>): Double {
        val prefillers = servers.count { it.stage == EngineStage.PREFILL }
        return if (prefillers == 0) 1.0 else prefillers.toDouble() / servers.size
    }

    private fun serverCounts(servers: List<BackendServer>): DomainServerCounts {
        val spot = servers.count { it.isSpot }
        return DomainServerCounts(servers.size - spot, spot)
    }

    private companion object {
        val INTERVAL = 300.milliseconds
    }
}
