package org.persimmonrelay.backend

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.route.EngineSpec
import org.persimmonrelay.route.ServiceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Chooses the server for a request: the one with the shortest expected time to the first token, or to the response for
 * services that are not engines, after adding the cost to other requests.
 *
 * Expected times include the prompt tokens of all nodes that the server has to prefill first, the cached part of the
 * prompt on it or on engines it can copy from, the network distance, and recent delays and failures of the server.
 * Confined to the traffic thread.
 */
public class ServerChooser(private val location: NodeLocation) {
    private val statistics = ServerStatistics()
    private val sharing = CacheReportSharing(statistics)
    private val overload = HashMap<ServiceId, OverloadDetector>()
    private val requestSizes = HashMap<ServiceId, RequestSizes>()
    private val demand = DemandMeter()

    /** Chooses among [servers], the servers of the request's service that may get new requests. */
    public fun choose(query: PlacementQuery, servers: List<BackendServer>, engine: EngineSpec?): Placement =
        choose(query, ServerCandidates.of(servers), engine)

    /** Chooses among the preferred servers; among all when none of the preferred ones is good enough. */
    public fun choose(query: PlacementQuery, candidates: ServerCandidates, engine: EngineSpec?): Placement {
        statistics.expirePeerWork(query.now)
        val decision = widen(candidates, query) { chooseAmong(it, query, engine) }
        val placement = admit(decision, query)
        if (query.excluded.isEmpty()) recordDemand(decision, placement, query)
        return placement
    }

    private fun recordDemand(decision: Decision, placement: Placement, query: PlacementQuery) = demand.arrived(
        query.request.service,
        decision.prefillTokens ?: query.request.promptTokens,
        decision.held,
        isRefused = placement is Placement.Refused,
    )

    /** How much later than expected the first parts of responses of [service] usually come at [now]. */
    public fun usualLateness(service: ServiceId, now: Moment): Duration = statistics.lateness(service).usual(now)

    /** The work that callers have asked of each service since the start. */
    public fun demand(): List<ServiceDemand> = demand.totals()

    /** The decision of [choose] among the preferred servers, or among all when that is not good enough. */
    private fun widen(
        candidates: ServerCandidates,
        query: PlacementQuery,
        choose: (List<BackendServer>) -> Decision,
    ): Decision {
        val preferred = choose(candidates.preferred)
        val isGoodEnough =
            preferred.placement !is Placement.Refused && preferred.expected <= query.latencyTarget * GOOD_ENOUGH_SHARE
        if (!candidates.canWiden || isGoodEnough) return preferred
        val widened = choose(candidates.all)
        return if (widened.placement is Placement.Refused) preferred else widened
    }

    /** Refuses a first attempt that would wait too long during a lasting overload. */
    private fun admit(decision: Decision, query: PlacementQuery): Placement {
        if (decision.placement is Placement.Refused || query.excluded.isNotEmpty()) return decision.placement
        val service = query.request.service
        val detector = overload.getOrPut(service) { OverloadDetector() }
        detector.record(decision.wait, query.latencyTarget, query.now)
        val isLight = requestSizes.getOrPut(service) { RequestSizes() }.isLight(query.request)
        if (isLight || !detector.isTooLong(decision.wait, query.latencyTarget)) return decision.placement
        return Placement.Refused(RefusalReason.OVERLOAD, retryAfter(decision.wait, query))
    }

    /** Spread, so that callers refused together do not return together. */
    private fun retryAfter(wait: Duration, query: PlacementQuery): Duration {
        val spread = Math.floorMod(query.request.seed, RETRY_SPREAD_STEPS).toDouble() / RETRY_SPREAD_STEPS
        return (wait * (MIN_RETRY_FACTOR + spread)).coerceIn(RETRY_RANGE)
    }

    /**
     * A placement whose first token is expected after [expected], of which [wait] is due to other requests. The request
     * has [prefillTokens] to prefill, null if no server could be looked at, and occupies a slot for [held].
     */
    private data class Decision(
        val placement: Placement,
        val expected: Duration,
        val wait: Duration,
        val prefillTokens: Int? = null,
        val held: Duration = Duration.ZERO,
    )

    private fun refused(reason: RefusalReason, retryAfter: Duration) =
        Decision(Placement.Refused(reason, retryAfter), Duration.INFINITE, Duration.ZERO)

    private fun chooseAmong(servers: List<BackendServer>, query: PlacementQuery, engine: EngineSpec?): Decision {
        val usable = healthy(servers, query, engine)
        val (prefillers, decoders) = usable.partition { it.stage == EngineStage.PREFILL }
        if (decoders.isEmpty()) return refused(noServerReason(query), NO_SERVER_RETRY_AFTER)
        val costs = PlacementCosts(query, engine, statistics, location, holders(usable, query, engine))
        // Where there are prefill servers, shared prompts are cached on those rather than on decode servers.
        val affinity = if (prefillers.isEmpty()) PromptAffinity.of(query.request, decoders) else emptyMap()
        val full = costs.best(decoders, ServerWorkKind.FULL, affinity)
        val split = if (maySplit(query, prefillers)) split(prefillers, decoders, costs, query.request) else null
        val best = if (split != null && split.cost < full.cost) split.decision() else full.decision()
        if (best.expected <= query.maxStartDelay) return best
        val retryAfter = (best.expected - query.maxStartDelay).coerceIn(RETRY_RANGE)
        return best.copy(placement = Placement.Refused(RefusalReason.TOO_LATE, retryAfter))
    }

    private fun noServerReason(query: PlacementQuery) =
        if (query.unavailable.isEmpty()) RefusalReason.NO_SERVER else RefusalReason.LIMITED

    private fun ServerOption.decision() =
        Decision(placement(), expected, wait, prefillTokens, statistics.serviceTime(server))

    /** Chooses the decode server for a prompt whose prefill ran at [prefillServer]. */
    public fun chooseDecode(
        query: PlacementQuery,
        candidates: ServerCandidates,
        engine: EngineSpec?,
        prefillServer: BackendServer,
    ): Placement {
        statistics.expirePeerWork(query.now)
        return widen(candidates, query) { servers ->
            val decoders = healthy(servers, query, engine).filter { it.stage != EngineStage.PREFILL }
            val costs = PlacementCosts(query, engine, statistics, location, holders = null)
            if (decoders.isEmpty()) {
                refused(noServerReason(query), NO_SERVER_RETRY_AFTER)
            } else {
                costs.bestDecoder(decoders, prefillServer).decision()
            }
        }.placement
    }

    /**
     * Records that the request was sent to the chosen server; the caller reports its course to the returned object.
     * [prefillServer] is the server from which the chosen one fetches the prompt's KV cache, if any.
     */
    public fun sent(
        chosen: Placement.Chosen,
        request: RequestProfile,
        engine: EngineSpec?,
        now: Moment,
        prefillServer: BackendServer? = null,
    ): InFlightRequest {
        val server = chosen.server
        val load = statistics.load(server, engine)
        load.started(chosen.prefillTokens)
        if (request.hasPrompt) load.cache.recordSent(request.prompt, now)
        val estimates = LearnedEstimates(
            firstToken = statistics.model(server),
            prefillSpeed = demand.speed(server.service).takeIf { server.stage != EngineStage.DECODE },
            serviceTime = statistics.serviceTimeEstimate(server),
            lateness = statistics.lateness(server.service),
            learnsFirstToken = request.hasPrompt && chosen.prefillTokens > 0,
            foundFreeSlot = statistics.running(server) <= server.slots,
        )
        val ahead = statistics.tokensAhead(server)
        return InFlightRequest(load, estimates, chosen, ahead, prefillServer?.let { statistics.load(it, engine) }, now)
    }

    /** The engine [server] reported changes of its prompt cache. */
    public fun cacheChanged(server: BackendServer, engine: EngineSpec?, delta: PromptCacheDelta, now: Moment) {
        statistics.load(server, engine).cache.applyDelta(delta, now)
        sharing.polled(server.instance, delta.changes)
    }

    /** The engine [server] reported all of its prompt cache. */
    public fun cacheReplaced(server: BackendServer, engine: EngineSpec?, snapshot: PromptCacheSnapshot, now: Moment) {
        statistics.load(server, engine).cache.applySnapshot(snapshot, now)
        sharing.polled(server.instance, snapshot.parts)
    }

    /** This node polls [engines] for their prompt caches, and no others. */
    public fun polling(engines: Set<ServerInstance>): Unit = sharing.retain(engines)

    /** What to tell other nodes of the caches that this node has polled since the last call. */
    public fun cacheReports(): List<SharedCacheReport> = sharing.next()

    /** Another node told [report] of an engine's cache. */
    public fun cacheHeard(report: SharedCacheReport, now: Moment) {
        val parts = report.parts.map { CachedPromptPart(it.id, it.tokens) }
        statistics.existingLoad(report.instance)?.cache?.applyShared(report.epoch, parts, now)
    }

    /** This node's work in flight at servers. */
    public fun work(): List<ServerWork> = statistics.ownWork()

    /** Replaces the work in flight that [node] reported before by [work]. */
    public fun peerWork(node: NodeId, work: List<ServerWork>, now: Moment): Unit = statistics.peerWork(node, work, now)

    /** The work of [reporting] nodes is known, of [running] that send to the same servers. */
    public fun peersReporting(reporting: Int, running: Int): Unit =
        statistics.peerScale((running.toDouble() / reporting.coerceAtLeast(1)).coerceIn(1.0, MAX_PEER_SCALE))

    /** Drops the statistics of servers that are not in [view]. */
    public fun retain(view: BackendView): Unit = statistics.retain(view)

    /** Requests of all nodes at [server], as far as their reports are known. */
    public fun running(server: BackendServer): Int = statistics.running(server)

    private inner class SplitOption(
        val placement: Placement.Split,
        val wait: Duration,
        val cost: Duration,
        val decodeServer: BackendServer,
    ) {
        fun decision() = Decision(
            placement,
            placement.expected,
            wait,
            placement.prefill.prefillTokens,
            statistics.serviceTime(decodeServer),
        )
    }

    private fun maySplit(query: PlacementQuery, prefillers: List<BackendServer>) =
        query.maySplit && prefillers.isNotEmpty() && query.request.promptTokens >= MIN_SPLIT_TOKENS

    /** Servers that are not avoided after failures; all usable ones when every one is avoided. */
    private fun healthy(
        servers: List<BackendServer>,
        query: PlacementQuery,
        engine: EngineSpec?,
    ): List<BackendServer> {
        val usable = servers.filter { it.instance !in query.excluded && it.instance !in query.unavailable }
        return usable.filterNot { statistics.load(it, engine).isAvoided(query.now) }.ifEmpty { usable }
    }

    private fun holders(
        servers: List<BackendServer>,
        query: PlacementQuery,
        engine: EngineSpec?,
    ): PromptCacheHolders? {
        val prompt = query.request.prompt
        if (prompt.isEmpty()) return null
        val cached = servers.associateWith { statistics.load(it, engine).cache.cachedTokens(prompt, query.now) }
        return PromptCacheHolders(location.regions, engine, cached)
    }

    private fun split(
        prefillers: List<BackendServer>,
        decoders: List<BackendServer>,
        costs: PlacementCosts,
        request: RequestProfile,
    ): SplitOption {
        val affinity = PromptAffinity.of(request, prefillers)
        val prefill = costs.best(prefillers, ServerWorkKind.PREFILL, affinity)
        val decode = costs.bestDecoder(decoders, prefill.server)
        val placement = Placement.Split(prefill.placement(), prefill.expected + decode.expected)
        return SplitOption(placement, prefill.wait + decode.wait, prefill.cost + decode.cost, decode.server)
    }

    private companion object {
        val NO_SERVER_RETRY_AFTER = 700.milliseconds
        val RETRY_RANGE = 300.milliseconds..2_000.milliseconds
        const val MIN_SPLIT_TOKENS = 256
        const val RETRY_SPREAD_STEPS = 64
        const val MIN_RETRY_FACTOR = 0.5

        /** Share of the latency target within which a preferred server must start, or else all are looked at. */
        const val GOOD_ENOUGH_SHARE = 0.5

        /** Limits the effect of nodes that were just started or have just stopped. */
        const val MAX_PEER_SCALE = 4.0
    }
}
