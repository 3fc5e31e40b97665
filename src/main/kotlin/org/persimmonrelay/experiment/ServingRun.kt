/*
 * Simulates the requests of a trace on entry nodes and engines in virtual time under one policy. The nodes use the
 * production dispatchers; the engines are instances of EngineModel. Only the policy differs between arms.
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

/** Result of a run. The paid server time is in seconds; [serverSeconds] includes [spotSeconds]. */
internal class ServingResult(
    val trace: Trace,
    val states: List<RequestState>,
    val changes: List<RoleChangeRecord>,
    val serverSeconds: Double,
    val spotSeconds: Double,
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
    private val fleet = SimulatedFleet(trace.deployment, conditions, profile, loop, this)
    private val nodes = nodes()
    private val states = trace.requests.map { RequestState(it, nodeOf(it)) }
    private val roles = RoleManager(profile, loop, conditions.roleChangeSeconds, ::publishServers)

    fun run(): ServingResult {
        publishServers(0.0)
        states.forEach { state -> loop.at(momentAt(state.request.at)) { dispatchArrival(state) } }
        loop.every(conditions.reportPeriod, end, ::reportLoads)
        if (arm == Arm.OURS) {
            loop.every(CONTROL_INTERVAL_SECONDS, end, ::control)
        }
        conditions.faults.forEach { fault -> loop.at(momentAt(fault.at)) { injectFault(fault) } }
        loop.runUntil(end)
        val paid = fleet.paidSeconds(trace.seconds)
        return ServingResult(trace, states, roles.changes, paid.total, paid.spot)
    }

    private fun nodes(): List<EntryNode> {
        val deployment = trace.deployment
        return List(deployment.domains.size * conditions.nodesPerRegion) { index ->
            val region = index % deployment.domains.size
            val settings =
                RoutingSettings(
                    region = deployment.domains[region].region,
                    engine = profile,
                    betweenTokensMillis = deployment.maxInterTokenSeconds * MILLIS,
                    reportLagSeconds = NOMINAL_REPORT_LAG_SECONDS,
                )
            EntryNode.of(arm, index, region, settings, seed)
        }
    }

    private fun nodeOf(request: TraceRequest): Int {
        val regions = trace.deployment.domains.size
        return request.region + regions * random.nextInt(conditions.nodesPerRegion)
    }

    private fun dispatchArrival(state: RequestState) =
        dispatch(state.node, DispatchEvent.Arrived(dispatchRequest(state)))

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
            firstTokenBy = momentAt(request.at + trace.deployment.maxFirstTokenSeconds),
        )
    }

    private fun dispatch(node: Int, event: DispatchEvent) {
        nodes[node].dispatcher.on(event, loop.now).forEach { perform(node, it) }
    }

    private fun perform(node: Int, action: DispatchAction) {
        when (action) {
            is DispatchAction.Start -> start(node, action)
            is DispatchAction.Refuse -> recordRefusal(states[action.id.value.toInt()])
            is DispatchAction.Abandon -> recordEnd(states[action.id.value.toInt()], RequestEnd.ABORTED)
            is DispatchAction.WakeAt -> loop.at(action.moment) { dispatch(node, DispatchEvent.Woken) }
        }
    }

    private fun recordRefusal(state: RequestState) {
        state.refusedAfterRun = state.mayHaveRun
        recordEnd(state, RequestEnd.REFUSED)
    }

    private fun recordEnd(state: RequestState, end: RequestEnd) {
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
        if (fleet.isPartitioned(nodes[node].region, prefill)) {
            loop.after(CONNECT_TIMEOUT_SECONDS) { redispatch(state, prefill.name) }
            return
        }
        val job = EngineJob(state.request, node, state.attempt, prefill.name, decode, state.deliveredTokens)
        state.job = job
        loop.after(seconds) { submitTo(prefill, job, state) }
    }

    private fun submitTo(engine: EngineModel, job: EngineJob, state: RequestState) {
        if (!engine.alive) return redispatch(state, engine.name)
        state.mayHaveRun = true
        engine.submit(job)
    }

    /** Reports a failure on [server] and dispatches the request again; the attempt count stays the same. */
    private fun redispatch(state: RequestState, server: String) {
        if (state.end != RequestEnd.OPEN) return
        val id = ServerId(server)
        dispatch(state.node, DispatchEvent.Ended(RequestId("${state.request.number}"), id, AttemptEnd.ENGINE_FAILED))
        val retry = DispatchEvent.Arrived(dispatchRequest(state), state.deliveredTokens, state.attempt, id)
        dispatch(state.node, retry)
    }

    /** Counts an attempt that failed on [server] after it had started, and dispatches the request again. */
    private fun failAttempt(job: EngineJob, server: String) {
        val state = states[job.request.number]
        if (state.end != RequestEnd.OPEN || job.attempt != state.attempt) return
        job.cancelled = true
        state.attempt++
        redispatch(state, server)
    }

    override fun onToken(job: EngineJob) {
        val state = states[job.request.number]
        if (job.attempt != state.attempt || job.cancelled || state.end != RequestEnd.OPEN) return
        state.deliveredTokens = job.generatedTokens
        val latency = fleet.delay(nodes[job.node].region, fleet.engine(job.decode)) + CLIENT_DELAY_SECONDS * 2
        state.lastTokenAt = loop.now.seconds + latency
        val first = job.generatedTokens == job.promptTokens - job.request.promptTokens + 1
        if (state.firstTokenAt.isNaN()) state.firstTokenAt = state.lastTokenAt
        if (first || job.generatedTokens % TOKENS_PER_PROGRESS_EVENT == 0) reportProgress(job, first)
    }

    private fun reportProgress(job: EngineJob, first: Boolean) {
        if (!first && random.nextDouble() < conditions.lostProgress) return
        val id = RequestId("${job.request.number}")
        val cached = if (random.nextDouble() < conditions.lostProgress) 0 else job.cachedTokens
        dispatch(job.node, DispatchEvent.Progressed(id, job.generatedTokens, cached))
    }

    override fun onPrefilled(job: EngineJob) {
        val target = fleet.engine(job.decode)
        val incarnation = target.incarnation
        loop.after(profile.transferSeconds(job.promptTokens)) {
            if (target.alive && target.incarnation == incarnation) target.import(job) else failAttempt(job, target.name)
        }
    }

    override fun onDone(job: EngineJob) {
        val state = states[job.request.number]
        if (job.attempt != state.attempt || job.cancelled) return
        recordEnd(state, RequestEnd.DONE)
        val id = RequestId("${job.request.number}")
        dispatch(job.node, DispatchEvent.Progressed(id, job.generatedTokens, job.cachedTokens))
        dispatch(job.node, DispatchEvent.Ended(id, ServerId(job.decode), AttemptEnd.DONE))
    }

    private fun reportLoads() {
        fleet.engines.filter { it.alive }.forEach { engine ->
            if (random.nextDouble() < conditions.lostReports) return@forEach
            val event = DispatchEvent.Reported(engine.report())
            val open = nodes.filterNot { fleet.isPartitioned(it.region, engine) }
            loop.after(conditions.reportLag) { open.forEach { dispatch(it.index, event) } }
        }
    }

    private fun control() {
        val demand = nodes.map { it.takeDemand() }.fold(Demand.NONE, Demand::plus)
        roles.tick(fleet.engines.filterNot { fleet.isRemoved(it) }, demand)
        nodes.forEach { from ->
            val summary = from.summary(trace.deployment.name, loop.now) ?: return@forEach
            val open = nodes.filter { it !== from && !fleet.isPartitioned(it.region, from.region) }
            loop.after(GOSSIP_DELAY_SECONDS) {
                open.forEach { dispatch(it.index, DispatchEvent.PeerConsumed(summary)) }
            }
        }
    }

    private fun publishServers(): Unit = publishServers(SERVER_LIST_DELAY_SECONDS)

    private fun publishServers(delay: Double) {
        val servers: List<BackendServerConfig> = fleet.servers()
        loop.after(delay) { nodes.forEach { dispatch(it.index, DispatchEvent.ServersChanged(servers)) } }
    }

    private fun injectFault(fault: Fault) {
        when (fault) {
            is Fault.Crash -> crash(fault)
            is Fault.DomainLoss -> terminateSpotServers(fault)
            is Fault.RegionPartition -> isolateRegion(fault)
        }
    }

    private fun crash(fault: Fault.Crash) {
        val candidates = roles.changing.ifEmpty { fleet.engines.filter { it.alive } }
        if (candidates.isEmpty()) return
        val engine = candidates[fault.index % candidates.size]
        crashEngine(engine)
        loop.after(fault.downSeconds) {
            engine.restart(engine.role)
            publishServers()
        }
        loop.after(HOST_LIST_DELAY_SECONDS) { publishServers(0.0) }
    }

    private fun crashEngine(engine: EngineModel) {
        val lostJobs = engine.crash()
        roles.onCrash(engine)
        loop.after(CONNECTION_RESET_SECONDS) { lostJobs.forEach { failAttempt(it, engine.name) } }
    }

    private fun terminateSpotServers(fault: Fault.DomainLoss) {
        val domain = trace.deployment.domains[fault.domain].domain
        val spot = fleet.engines.filter { it.domain == domain && fleet.price(it) == PriceClass.CHEAP }
        spot.forEach { it.terminating = true }
        publishServers()
        loop.after(fault.noticeSeconds) {
            spot.forEach(::crashEngine)
            spot.forEach(fleet::remove)
            publishServers()
        }
    }

    private fun isolateRegion(fault: Fault.RegionPartition) {
        fleet.isolatedRegion = fault.region
        loop.after(fault.seconds) { fleet.isolatedRegion = null }
        states.filter { it.end == RequestEnd.OPEN && it.job != null }.forEach { state ->
            val job = state.job ?: return@forEach
            val region = nodes[job.node].region
            val server = listOf(job.prefill, job.decode).firstOrNull { fleet.isPartitioned(region, fleet.engine(it)) }
            if (server == null || job.attempt != state.attempt) return@forEach
            job.cancelled = true
            loop.after(PROGRESS_TIMEOUT_SECONDS) { failAttempt(job, server) }
        }
    }

    private companion object {
        const val DRAIN_SECONDS = 120.0
        const val CONTROL_INTERVAL_SECONDS = 1.0
        const val GOSSIP_DELAY_SECONDS = 0.1
        const val SERVER_LIST_DELAY_SECONDS = 0.2
        const val HOST_LIST_DELAY_SECONDS = 3.0
        const val CONNECTION_RESET_SECONDS = 0.02
        const val CONNECT_TIMEOUT_SECONDS = 0.25
        const val PROGRESS_TIMEOUT_SECONDS = 2.0
        const val CLIENT_DELAY_SECONDS = 0.003
        const val NOMINAL_REPORT_LAG_SECONDS = 0.25
        const val TOKENS_PER_PROGRESS_EVENT = 16
        const val MILLIS = 1_000.0
    }
}
