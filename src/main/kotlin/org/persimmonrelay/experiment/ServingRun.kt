/*
 * Runs a trace through entry nodes and engines in virtual time under one policy. The nodes use the dispatchers
 * of production; the engines are the engine model. Nothing but the policy differs between arms.
 */
package org.persimmonrelay.experiment

import org.persimmonrelay.catalog.BackendServerConfig
import org.persimmonrelay.engine.EngineProfile
import org.persimmonrelay.identity.RequestId
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.identity.WorkspaceId
import org.persimmonrelay.platform.PriceClass
import org.persimmonrelay.routing.AttemptEnd
import org.persimmonrelay.routing.Demand
import org.persimmonrelay.routing.DispatchAction
import org.persimmonrelay.routing.DispatchEvent
import org.persimmonrelay.routing.DispatchRequest
import org.persimmonrelay.routing.RoutingSettings
import kotlin.random.Random

/** What a run gave. */
internal class ServingResult(
    val trace: Trace,
    val states: List<RequestState>,
    val changes: List<ChangeRecord>,
    val serverSeconds: Double,
    val cheapSeconds: Double,
)

internal class ServingRun(
    private val trace: Trace,
    private val arm: Arm,
    private val conditions: Conditions,
    private val profile: EngineProfile,
    private val seed: Long,
) : EngineListener {
    private val loop = EventLoop()
    private val random = Random(seed)
    private val end = momentAt(trace.seconds + DRAIN_SECONDS)
    private val fleet = RunFleet(trace.deployment, conditions, profile, loop, this)
    private val nodes = nodes()
    private val states = trace.requests.map { RequestState(it, nodeOf(it)) }
    private val roles = RoleManager(profile, loop, conditions.roleChangeSeconds, ::publishServers)

    fun run(): ServingResult {
        publishServers(0.0)
        states.forEach { state -> loop.at(momentAt(state.request.at)) { arrive(state) } }
        loop.every(conditions.reportPeriod, end, ::report)
        if (arm == Arm.OURS) {
            loop.every(CONTROL_SECONDS, end, ::control)
        }
        conditions.faults.forEach { fault -> loop.at(momentAt(fault.at)) { strike(fault) } }
        loop.runUntil(end)
        val paid = fleet.paidSeconds(trace.seconds)
        return ServingResult(trace, states, roles.changes, paid.all, paid.cheap)
    }

    private fun nodes(): List<EntryNode> {
        val deployment = trace.deployment
        return List(deployment.domains.size * conditions.nodesPerRegion) { index ->
            val region = index % deployment.domains.size
            val settings =
                RoutingSettings(
                    region = deployment.domains[region].region,
                    engine = profile,
                    betweenTokensMillis = deployment.betweenTokensSeconds * MILLIS,
                    reportLagSeconds = NOMINAL_LAG_SECONDS,
                )
            EntryNode.of(arm, index, region, settings, seed)
        }
    }

    private fun nodeOf(request: TraceRequest): Int {
        val regions = trace.deployment.domains.size
        return request.region + regions * random.nextInt(conditions.nodesPerRegion)
    }

    private fun arrive(state: RequestState) = dispatch(state.node, DispatchEvent.Arrived(dispatchRequest(state)))

    private fun dispatchRequest(state: RequestState): DispatchRequest {
        val request = state.request
        return DispatchRequest(
            id = RequestId(request.number.toString()),
            workspace = WorkspaceId("workspace-${request.workspace}"),
            weight = 1,
            promptTokens = request.promptTokens,
            maxOutputTokens = request.maxOutputTokens,
            prefixBlocks = request.prefixBlocks,
            priority = 0,
            firstTokenBy = momentAt(request.at + trace.deployment.firstTokenSeconds),
        )
    }

    private fun dispatch(node: Int, event: DispatchEvent) {
        nodes[node].dispatcher.on(event, loop.now).forEach { carryOut(node, it) }
    }

    private fun carryOut(node: Int, action: DispatchAction) {
        when (action) {
            is DispatchAction.Start -> start(node, action)
            is DispatchAction.Refuse -> refused(states[action.id.value.toInt()])
            is DispatchAction.Abandon -> ended(states[action.id.value.toInt()], RequestEnd.CUT)
            is DispatchAction.WakeAt -> loop.at(action.moment) { dispatch(node, DispatchEvent.Woken) }
        }
    }

    private fun refused(state: RequestState) {
        state.refusedAfterRun = state.everSent
        ended(state, RequestEnd.REFUSED)
    }

    private fun ended(state: RequestState, end: RequestEnd) {
        if (state.end != RequestEnd.OPEN) return
        state.end = end
        state.endedAt = loop.now.seconds
    }

    private fun start(node: Int, action: DispatchAction.Start) {
        val state = states[action.id.value.toInt()]
        val prefill = fleet.engine(action.placement.prefill.value)
        val decode = action.placement.decode.value
        state.servers = prefill.name to decode
        val seconds = fleet.delay(nodes[node].region, prefill)
        if (fleet.isCut(nodes[node].region, prefill)) {
            loop.after(CONNECT_TIMEOUT_SECONDS) { notSent(state, prefill.name) }
            return
        }
        val job = EngineJob(state.request, node, state.attempt, prefill.name, decode, state.delivered)
        state.job = job
        loop.after(seconds) { arriveAt(prefill, job, state) }
    }

    private fun arriveAt(engine: EngineModel, job: EngineJob, state: RequestState) {
        if (!engine.alive) return notSent(state, engine.name)
        state.everSent = true
        engine.submit(job)
    }

    /** No connection was made: the attempt doesn't count. */
    private fun notSent(state: RequestState, server: String) {
        if (state.end != RequestEnd.OPEN) return
        val id = ServerId(server)
        dispatch(state.node, DispatchEvent.Ended(RequestId("${state.request.number}"), id, AttemptEnd.ENGINE_FAILED))
        val again = DispatchEvent.Arrived(dispatchRequest(state), state.delivered, state.attempt, id)
        dispatch(state.node, again)
    }

    /** The attempt broke on [server] after it had begun. */
    private fun broken(job: EngineJob, server: String) {
        val state = states[job.request.number]
        if (state.end != RequestEnd.OPEN || job.attempt != state.attempt) return
        job.cancelled = true
        state.attempt++
        notSent(state, server)
    }

    override fun onToken(job: EngineJob) {
        val state = states[job.request.number]
        if (job.attempt != state.attempt || job.cancelled || state.end != RequestEnd.OPEN) return
        state.delivered = job.output
        val latency = fleet.delay(nodes[job.node].region, fleet.engine(job.decode)) + CLIENT_SECONDS * 2
        state.lastTokenAt = loop.now.seconds + latency
        val first = job.output == job.promptTokens - job.request.promptTokens + 1
        if (state.firstTokenAt.isNaN()) state.firstTokenAt = state.lastTokenAt
        if (first || job.output % PROGRESS_TOKENS == 0) progress(job, first)
    }

    private fun progress(job: EngineJob, first: Boolean) {
        if (!first && random.nextDouble() < conditions.lostProgress) return
        val id = RequestId("${job.request.number}")
        val cached = if (random.nextDouble() < conditions.lostProgress) 0 else job.cachedTokens
        dispatch(job.node, DispatchEvent.Progressed(id, job.output, cached))
    }

    override fun onPrefilled(job: EngineJob) {
        val target = fleet.engine(job.decode)
        val life = target.life
        loop.after(profile.transferSeconds(job.promptTokens)) {
            if (target.alive && target.life == life) target.import(job) else broken(job, target.name)
        }
    }

    override fun onDone(job: EngineJob) {
        val state = states[job.request.number]
        if (job.attempt != state.attempt || job.cancelled) return
        ended(state, RequestEnd.DONE)
        val id = RequestId("${job.request.number}")
        dispatch(job.node, DispatchEvent.Progressed(id, job.output, job.cachedTokens))
        dispatch(job.node, DispatchEvent.Ended(id, ServerId(job.decode), AttemptEnd.DONE))
    }

    private fun report() {
        fleet.engines.filter { it.alive }.forEach { engine ->
            if (random.nextDouble() < conditions.lostReports) return@forEach
            val event = DispatchEvent.Reported(engine.report())
            val open = nodes.filterNot { fleet.isCut(it.region, engine) }
            loop.after(conditions.reportLag) { open.forEach { dispatch(it.index, event) } }
        }
    }

    private fun control() {
        val demand = nodes.map { it.takeDemand() }.fold(Demand.NONE, Demand::plus)
        roles.tick(fleet.engines.filterNot { fleet.isGone(it) }, demand)
        nodes.forEach { from ->
            val summary = from.summary(trace.deployment.name, loop.now) ?: return@forEach
            val open = nodes.filter { it !== from && !fleet.isCut(it.region, from.region) }
            loop.after(GOSSIP_SECONDS) { open.forEach { dispatch(it.index, DispatchEvent.PeerConsumed(summary)) } }
        }
    }

    private fun publishServers(): Unit = publishServers(SPREAD_SECONDS)

    private fun publishServers(delay: Double) {
        val servers: List<BackendServerConfig> = fleet.servers()
        loop.after(delay) { nodes.forEach { dispatch(it.index, DispatchEvent.ServersChanged(servers)) } }
    }

    private fun strike(fault: Fault) {
        when (fault) {
            is Fault.Crash -> crash(fault)
            is Fault.DomainLoss -> loseDomain(fault)
            is Fault.RegionCut -> cut(fault)
        }
    }

    private fun crash(fault: Fault.Crash) {
        val among = roles.changing.ifEmpty { fleet.engines.filter { it.alive } }
        if (among.isEmpty()) return
        val engine = among[fault.index % among.size]
        kill(engine)
        loop.after(fault.downSeconds) {
            engine.restart(engine.role)
            publishServers()
        }
        loop.after(HOST_LIST_SECONDS) { publishServers(0.0) }
    }

    private fun kill(engine: EngineModel) {
        val lost = engine.crash()
        roles.crashed(engine)
        loop.after(BREAK_SECONDS) { lost.forEach { broken(it, engine.name) } }
    }

    private fun loseDomain(fault: Fault.DomainLoss) {
        val domain = trace.deployment.domains[fault.domain].domain
        val cheap = fleet.engines.filter { it.domain == domain && fleet.price(it) == PriceClass.CHEAP }
        cheap.forEach { it.leaving = true }
        publishServers()
        loop.after(fault.noticeSeconds) {
            cheap.forEach(::kill)
            cheap.forEach(fleet::remove)
            publishServers()
        }
    }

    private fun cut(fault: Fault.RegionCut) {
        fleet.cutRegion = fault.region
        loop.after(fault.seconds) { fleet.cutRegion = null }
        states.filter { it.end == RequestEnd.OPEN && it.job != null }.forEach { state ->
            val job = state.job ?: return@forEach
            val region = nodes[job.node].region
            val server = listOf(job.prefill, job.decode).firstOrNull { fleet.isCut(region, fleet.engine(it)) }
            if (server == null || job.attempt != state.attempt) return@forEach
            job.cancelled = true
            loop.after(PROGRESS_TIMEOUT_SECONDS) { broken(job, server) }
        }
    }

    private companion object {
        const val DRAIN_SECONDS = 120.0
        const val CONTROL_SECONDS = 1.0
        const val GOSSIP_SECONDS = 0.1
        const val SPREAD_SECONDS = 0.2
        const val HOST_LIST_SECONDS = 3.0
        const val BREAK_SECONDS = 0.02
        const val CONNECT_TIMEOUT_SECONDS = 0.25
        const val PROGRESS_TIMEOUT_SECONDS = 2.0
        const val CLIENT_SECONDS = 0.003
        const val NOMINAL_LAG_SECONDS = 0.25
        const val PROGRESS_TOKENS = 16
        const val MILLIS = 1_000.0
    }
}
