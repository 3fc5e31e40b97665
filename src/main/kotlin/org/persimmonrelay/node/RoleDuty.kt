package org.persimmonrelay.node

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.persimmonrelay.catalog.BackendServerConfig
import org.persimmonrelay.catalog.CatalogSource
import org.persimmonrelay.catalog.Deployment
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.engine.EngineAddress
import org.persimmonrelay.engine.EngineLoadReport
import org.persimmonrelay.engine.EngineProfile
import org.persimmonrelay.fleet.FleetManager
import org.persimmonrelay.fleet.ManagedServer
import org.persimmonrelay.fleet.ServerChange
import org.persimmonrelay.fleet.ServerChangeResult
import org.persimmonrelay.fleet.plan.RoleChange
import org.persimmonrelay.fleet.plan.RoleController
import org.persimmonrelay.fleet.plan.RoleEngine
import org.persimmonrelay.fleet.plan.RoleSettings
import org.persimmonrelay.identity.DeploymentId
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.lease.Duty
import org.persimmonrelay.lease.LeaseManager
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Inputs of [RoleDuty] from other components. [region] is this node's region. */
internal class RoleDutyInputs(
    val region: String,
    val nodesOfRegion: () -> Collection<NodeId>,
    val catalog: CatalogSource,
    val demand: () -> DemandTotals,
    val loadReportOf: (ServerId) -> EngineLoadReport?,
)

/**
 * Adapts engines' roles to the ratio of prefill and decode work, in the failure domains for which this node holds the
 * lease. Nodes compete for leases of their own region only, where they know the engines' load. All state is confined
 * to the control thread.
 */
internal class RoleDuty(
    private val leases: LeaseManager,
    private val fleet: FleetManager,
    private val inputs: RoleDutyInputs,
    private val clock: Clock,
    private val interval: Duration = 2.seconds,
) {
    private val pools = HashMap<PoolKey, PoolState>()
    private val changing = HashMap<ServerId, RoleChange>()

    /** The engines of one deployment in one failure domain. */
    private data class PoolKey(val deployment: DeploymentId, val domain: FailureDomain)

    private class PoolState {
        val controller = RoleController(RoleSettings(), EngineProfile())
        val demand = DemandDifference()
    }

    /** Competes for the duties of the region's failure domains that have engines, until [scope] ends. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            while (true) {
                runOnce(scope)
                delay(interval)
            }
        }
    }

    private fun runOnce(scope: CoroutineScope) {
        val view = inputs.catalog.view.value
        val totals = inputs.demand()
        view.deployments().forEach { deployment ->
            val byDomain =
                view.serversOf(deployment)
                    .filter { it.region == inputs.region && !it.drain }
                    .groupBy { FailureDomain(it.domain) }
            byDomain.forEach { (domain, servers) -> decide(scope, deployment, domain, servers, totals) }
        }
    }

    private fun decide(
        scope: CoroutineScope,
        deployment: Deployment,
        domain: FailureDomain,
        servers: List<BackendServerConfig>,
        totals: DemandTotals,
    ) {
        val duty = Duty.fleet(domain)
        leases.compete(scope, duty, inputs.nodesOfRegion)
        val id = DeploymentId(deployment.name)
        val pool = pools.getOrPut(PoolKey(id, domain)) { PoolState() }
        pool.controller.observe(pool.demand.since(totals.of(id)), clock.now())
        if (leases.heldLease(duty) == null) return
        val engines = servers.mapNotNull(::toRoleEngine)
        pool.controller.decide(engines, clock.now()).forEach { change ->
            val server = servers.first { it.name == change.server.value }
            scope.launch { execute(change, server) }
        }
    }

    /** Null for an engine without a load report. */
    private fun toRoleEngine(server: BackendServerConfig): RoleEngine? {
        val id = ServerId(server.name)
        val report = inputs.loadReportOf(id) ?: return null
        val planned = changing[id]
        return RoleEngine(
            server = id,
            domain = FailureDomain(server.domain),
            role = planned?.role ?: report.role,
            changing = planned != null,
            sequences = report.runningRequests,
        )
    }

    private suspend fun execute(change: RoleChange, server: BackendServerConfig) {
        if (changing.putIfAbsent(change.server, change) != null) return
        val target =
            ManagedServer(
                id = change.server,
                address = EngineAddress(server.address),
                domain = FailureDomain(server.domain),
                checksFencing = server.checksFencing,
            )
        try {
            while (mustRetry(fleet.change(target, ServerChange.Role(change.role)))) delay(RETRY_DELAY)
        } finally {
            changing -= change.server
        }
    }

    /** Only a change whose result is unknown is retried; one that was not ordered is left to the next decision. */
    private fun mustRetry(result: ServerChangeResult): Boolean = when (result) {
        is ServerChangeResult.Unsettled -> true
        is ServerChangeResult.Done, is ServerChangeResult.Declined, is ServerChangeResult.RetryLater -> false
        is ServerChangeResult.NotLeaseHolder, is ServerChangeResult.HeldBack -> false
    }

    private companion object {
        val RETRY_DELAY = 1.seconds
    }
}
