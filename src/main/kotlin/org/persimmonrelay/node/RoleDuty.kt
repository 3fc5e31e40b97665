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

/** What a role duty reads of the rest of the system. [region] is the node's own. */
internal class RoleSources(
    val region: String,
    val nodesOfRegion: () -> Collection<NodeId>,
    val catalog: CatalogSource,
    val demand: () -> DemandTotals,
    val report: (ServerId) -> EngineLoadReport?,
)

/**
 * Lets engines' roles follow the mix, in the failure domains whose duty this node holds. Nodes compete for those of
 * their own region only, where they know the engines' load. All state is the control thread's.
 */
internal class RoleDuty(
    private val leases: LeaseManager,
    private val fleet: FleetManager,
    private val sources: RoleSources,
    private val clock: Clock,
    private val period: Duration = 2.seconds,
) {
    private val pools = HashMap<PoolPart, PoolRoles>()
    private val changing = HashMap<ServerId, RoleChange>()

    /** The engines of one deployment in one failure domain. */
    private data class PoolPart(val deployment: DeploymentId, val domain: FailureDomain)

    private class PoolRoles {
        val controller = RoleController(RoleSettings(), EngineProfile())
        val demand = DemandDifference()
    }

    /** Competes for the duties of all failure domains with engines, and decides until [scope] ends. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            while (true) {
                pass(scope)
                delay(period)
            }
        }
    }

    private fun pass(scope: CoroutineScope) {
        val view = sources.catalog.view.value
        val totals = sources.demand()
        view.deployments().forEach { deployment ->
            val byDomain =
                view.serversOf(deployment)
                    .filter { it.region == sources.region && !it.drain }
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
        leases.compete(scope, duty, sources.nodesOfRegion)
        val id = DeploymentId(deployment.name)
        val pool = pools.getOrPut(PoolPart(id, domain)) { PoolRoles() }
        pool.controller.observe(pool.demand.since(totals.of(id)), clock.now())
        if (leases.heldLease(duty) == null) return
        val known = servers.mapNotNull(::seen)
        pool.controller.decide(known, clock.now()).forEach { change ->
            val server = servers.first { it.name == change.server.value }
            scope.launch { carryOut(change, server) }
        }
    }

    /** Null for an engine that no node has heard of yet. */
    private fun seen(server: BackendServerConfig): RoleEngine? {
        val id = ServerId(server.name)
        val report = sources.report(id) ?: return null
        val planned = changing[id]
        return RoleEngine(
            server = id,
            domain = FailureDomain(server.domain),
            role = planned?.role ?: report.role,
            changing = planned != null,
            sequences = report.runningRequests,
        )
    }

    private suspend fun carryOut(change: RoleChange, server: BackendServerConfig) {
        if (changing.putIfAbsent(change.server, change) != null) return
        val target =
            ManagedServer(
                id = change.server,
                address = EngineAddress(server.address),
                domain = FailureDomain(server.domain),
                checksFencing = server.checksFencing,
            )
        try {
            while (goesOn(fleet.change(target, ServerChange.Role(change.role)))) delay(RETRY_EVERY)
        } finally {
            changing -= change.server
        }
    }

    /** An order that is under way has to be settled; one that was not given is left to the next decision. */
    private fun goesOn(result: ServerChangeResult): Boolean = when (result) {
        is ServerChangeResult.Unsettled -> true
        is ServerChangeResult.Done, is ServerChangeResult.Declined, is ServerChangeResult.RetryLater -> false
        is ServerChangeResult.NotLeaseHolder, is ServerChangeResult.HeldBack -> false
    }

    private companion object {
        val RETRY_EVERY = 1.seconds
    }
}
