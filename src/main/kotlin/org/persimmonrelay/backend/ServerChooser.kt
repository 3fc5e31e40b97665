package org.persimmonrelay.backend

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.route.EngineSpec
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

    /** Chooses among [servers], the servers of the request's service that may get new requests. */
    public fun choose(query: PlacementQuery, servers: List<BackendServer>, engine: EngineSpec?): Placement =
        choose(query, ServerCandidates.of(servers), engine)

    /** Chooses among the preferred servers; among all when none of the preferred ones is good enough. */
    public fun choose(query: PlacementQuery, candidates: ServerCandidates, engine: EngineSpec?): Placement {
        statistics.expirePeerWork(query.now)
        val preferred = chooseAmong(candidates.preferred, query, engine)
        if (!candidates.canWiden || isGoodEnough(preferred, query)) return preferred
        val widened = chooseAmong(candidates.all, query, engine)
        return if (widened is Placement.Refused) preferred else widened
    }

    private fun isGoodEnough(placement: Placement, query: PlacementQuery): Boolean = when (placement) {
        is Placement.Chosen -> placement.expected <= query.latencyTarget * GOOD_ENOUGH_SHARE
        is Placement.Split -> placement.expected <= query.latencyTarget * GOOD_ENOUGH_SHARE
        is Placement.Refused -> false
    }

    private fun chooseAmong(servers: List<BackendServer>, query: PlacementQuery, engine: EngineSpec?): Placement {
        val usable = healthy(servers, query, engine)
        val (prefillers, decoders) = usable.partition { it.stage == EngineStage.PREFILL }
        if (decoders.isEmpty()) return Placement.Refused(RefusalReason.NO_SERVER, NO_SERVER_RETRY_AFTER)
        val costs = PlacementCosts(query, engine, statistics, location, holders(usable, query, engine))
        // Where there are prefill servers, shared prompts are cached on those rather than on decode servers.
        val affinity = if (prefillers.isEmpty()) PromptAffinity.of(query.request, decoders) else emptyMap()
        val full = costs.best(decoders, ServerWorkKind.FULL, affinity)
        val split = if (maySplit(query, prefillers)) split(prefillers, decoders, costs, query.request) else null
        if (split != null && split.cost < full.cost) return inTime(split.placement, split.placement.expected, query)
        return inTime(full.placement(), full.expected, query)
    }

    /** Chooses the decode server for a prompt whose prefill ran in [prefillDomain]. */
    public fun chooseDecode(
        query: PlacementQuery,
        candidates: ServerCandidates,
        engine: EngineSpec?,
        prefillDomain: FailureDomain,
    ): Placement {
        statistics.expirePeerWork(query.now)
        val preferred = chooseDecodeAmong(candidates.preferred, query, engine, prefillDomain)
        if (!candidates.canWiden || isGoodEnough(preferred, query)) return preferred
        val widened = chooseDecodeAmong(candidates.all, query, engine, prefillDomain)
        return if (widened is Placement.Refused) preferred else widened
    }

    private fun chooseDecodeAmong(
        servers: List<BackendServer>,
        query: PlacementQuery,
        engine: EngineSpec?,
        prefillDomain: FailureDomain,
    ): Placement {
        val decoders = healthy(servers, query, engine).filter { it.stage != EngineStage.PREFILL }
        if (decoders.isEmpty()) return Placement.Refused(RefusalReason.NO_SERVER, NO_SERVER_RETRY_AFTER)
        return bestDecoder(decoders, PlacementCosts(query, engine, statistics, location, holders = null), prefillDomain)
            .placement()
    }

    /** Records that the request was sent to the chosen server; the caller reports its course to the returned object. */
    public fun sent(
        chosen: Placement.Chosen,
        request: RequestProfile,
        engine: EngineSpec?,
        now: Moment,
    ): InFlightRequest {
        val load = statistics.load(chosen.server, engine)
        load.started(chosen.prefillTokens)
        if (request.hasPrompt) load.cache.recordSent(request.prompt, now)
        val updatesModel = request.hasPrompt && chosen.prefillTokens > 0
        val ahead = statistics.tokensAhead(chosen.server)
        return InFlightRequest(load, statistics.model(chosen.server), chosen, ahead, updatesModel)
    }

    /** The engine [server] reported changes of its prompt cache. */
    public fun cacheChanged(server: BackendServer, engine: EngineSpec?, delta: PromptCacheDelta, now: Moment): Unit =
        statistics.load(server, engine).cache.applyDelta(delta, now)

    /** The engine [server] reported all of its prompt cache. */
    public fun cacheReplaced(
        server: BackendServer,
        engine: EngineSpec?,
        snapshot: PromptCacheSnapshot,
        now: Moment,
    ): Unit = statistics.load(server, engine).cache.applySnapshot(snapshot, now)

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

    private class SplitOption(val placement: Placement.Split, val cost: Duration)

    private fun maySplit(query: PlacementQuery, prefillers: List<BackendServer>) =
        query.maySplit && prefillers.isNotEmpty() && query.request.promptTokens >= MIN_SPLIT_TOKENS

    private fun inTime(placement: Placement, expected: Duration, query: PlacementQuery): Placement {
        if (expected <= query.maxStartDelay) return placement
        return Placement.Refused(RefusalReason.TOO_LATE, (expected - query.maxStartDelay).coerceIn(RETRY_RANGE))
    }

    /** Servers that are not avoided after failures; all usable ones when every one is avoided. */
    private fun healthy(
        servers: List<BackendServer>,
        query: PlacementQuery,
        engine: EngineSpec?,
    ): List<BackendServer> {
        val usable = servers.filter { it.instance !in query.excluded }
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
        val prefill = costs.best(prefillers, ServerWorkKind.PREFILL, PromptAffinity.of(request, prefillers))
        val decode = bestDecoder(decoders, costs, prefill.server.domain)
        val expected = prefill.expected + decode.expected
        return SplitOption(Placement.Split(prefill.placement(), expected), prefill.cost + decode.cost)
    }

    private fun bestDecoder(
        decoders: List<BackendServer>,
        costs: PlacementCosts,
        prefillDomain: FailureDomain,
    ): ServerOption {
        val source = NodeLocation(prefillDomain, location.regions[prefillDomain] ?: location.region, location.regions)
        return decoders
            .map { costs.option(it, ServerWorkKind.DECODE).afterTransfer(duration = source.transferCost(it.domain)) }
            .minBy { it.cost }
    }

    private companion object {
        val NO_SERVER_RETRY_AFTER = 700.milliseconds
        val RETRY_RANGE = 300.milliseconds..2_000.milliseconds
        const val MIN_SPLIT_TOKENS = 256

        /** Share of the latency target within which a preferred server must start for the others not to be looked at. */
        const val GOOD_ENOUGH_SHARE = 0.5

        /** Limits the effect of nodes that were just started or have just stopped. */
        const val MAX_PEER_SCALE = 4.0
    }
}
