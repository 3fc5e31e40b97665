package org.persimmonrelay.backend

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.route.EngineSpec
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides which server gets a request: the one where its first token, or its answer, is expected first.
 *
 * Expected times count what all nodes have to be read there before, what engines keep of the prompt or can copy from
 * each other, how far the server is, and how it has done lately. Confined to the traffic thread.
 */
public class ServerChooser(private val place: NodeLocation) {
    private val knowledge = ServerKnowledge()

    /** Chooses among [servers], which are those of the request's service that may get new requests. */
    public fun choose(query: PlacementQuery, servers: List<BackendServer>, engine: EngineSpec?): Placement {
        val usable = sound(servers, query, engine)
        val (readers, makers) = usable.partition { it.stage == EngineStage.PREFILL }
        if (makers.isEmpty()) return Placement.Refused(RefusalReason.NO_SERVER, NO_SERVER_WAIT)
        val costs = OptionCosts(query, engine, knowledge, place, holders(usable, query, engine))
        // Where there are readers, shared prompts have their homes there and not at the servers that make tokens.
        val homes = if (readers.isEmpty()) PromptHomes.of(query.request, makers) else emptyMap()
        val whole = costs.best(makers, ServerWorkKind.WHOLE, homes)
        val split = if (maySplit(query, readers)) split(readers, makers, costs, query.request) else null
        if (split != null && split.cost < whole.cost) return inTime(split.placement, split.placement.expected, query)
        return inTime(whole.placement(), whole.expected, query)
    }

    /** Chooses where to make the tokens of a prompt that was read in [readIn]. */
    public fun chooseDecode(
        query: PlacementQuery,
        servers: List<BackendServer>,
        engine: EngineSpec?,
        readIn: FailureDomain,
    ): Placement {
        val makers = sound(servers, query, engine).filter { it.stage != EngineStage.PREFILL }
        if (makers.isEmpty()) return Placement.Refused(RefusalReason.NO_SERVER, NO_SERVER_WAIT)
        return maker(makers, OptionCosts(query, engine, knowledge, place, holders = null), readIn).placement()
    }

    /** The request was sent to the chosen server. */
    public fun sent(
        chosen: Placement.Chosen,
        request: RequestProfile,
        engine: EngineSpec?,
        now: Moment,
    ): InFlightRequest {
        val load = knowledge.load(chosen.server, engine)
        load.started(chosen.prefillTokens)
        if (request.isPrompted) load.memory.read(request.prompt, now)
        val learns = request.isPrompted && chosen.prefillTokens > 0
        val ahead = knowledge.tokensAhead(chosen.server, now)
        return InFlightRequest(load, knowledge.model(chosen.server), chosen, ahead, learns)
    }

    /** The engine [server] reported what changed in what it keeps. */
    public fun cacheChanged(server: BackendServer, engine: EngineSpec?, changes: PromptCacheDelta, now: Moment): Unit =
        knowledge.load(server, engine).memory.changed(changes, now)

    /** The engine [server] reported all that it keeps. */
    public fun cacheReplaced(
        server: BackendServer,
        engine: EngineSpec?,
        list: PromptCacheSnapshot,
        now: Moment,
    ): Unit = knowledge.load(server, engine).memory.replaced(list, now)

    /** What this node has under way at servers. */
    public fun work(): List<ServerWork> = knowledge.ownWork()

    /** The node [node] told that it has [work] under way, and no other. */
    public fun peerWork(node: NodeId, work: List<ServerWork>, now: Moment): Unit = knowledge.peerWork(node, work, now)

    /** Forgets what is known of servers that are not in [view]. */
    public fun retain(view: BackendView): Unit = knowledge.retain(view)

    /** Requests of this node at [instance]. */
    public fun running(instance: ServerInstance): Int = knowledge.ownRunning(instance)

    private class SplitOption(val placement: Placement.Split, val cost: Duration)

    private fun maySplit(query: PlacementQuery, readers: List<BackendServer>) =
        query.maySplit && readers.isNotEmpty() && query.request.promptTokens >= LEAST_SPLIT_TOKENS

    private fun inTime(placement: Placement, expected: Duration, query: PlacementQuery): Placement {
        if (expected <= query.latestStart) return placement
        return Placement.Refused(RefusalReason.TOO_LATE, (expected - query.latestStart).coerceIn(RETRY_RANGE))
    }

    private fun sound(servers: List<BackendServer>, query: PlacementQuery, engine: EngineSpec?): List<BackendServer> {
        val usable = servers.filter { it.instance !in query.excluded }
        return usable.filterNot { knowledge.load(it, engine).isAvoided(query.now) }.ifEmpty { usable }
    }

    private fun holders(servers: List<BackendServer>, query: PlacementQuery, engine: EngineSpec?): PromptHolders? {
        val prompt = query.request.prompt
        if (prompt.isEmpty()) return null
        val kept = servers.associateWith { knowledge.load(it, engine).memory.kept(prompt, query.now) }
        return PromptHolders(place.regions, engine, kept)
    }

    private fun split(
        readers: List<BackendServer>,
        makers: List<BackendServer>,
        costs: OptionCosts,
        request: RequestProfile,
    ): SplitOption {
        val reader = costs.best(readers, ServerWorkKind.READ, PromptHomes.of(request, readers))
        val maker = maker(makers, costs, reader.server.domain)
        val expected = reader.expected + maker.expected
        return SplitOption(Placement.Split(reader.placement(), expected), reader.cost + maker.cost)
    }

    private fun maker(makers: List<BackendServer>, costs: OptionCosts, readIn: FailureDomain): ServerOption {
        val nearest = NodeLocation(readIn, place.regions[readIn] ?: place.region, place.regions)
        return makers.map { costs.option(it, ServerWorkKind.MAKE).after(move = nearest.moveDistance(it.domain)) }
            .minBy { it.cost }
    }

    private companion object {
        val NO_SERVER_WAIT = 700.milliseconds
        val RETRY_RANGE = 300.milliseconds..2_000.milliseconds
        const val LEAST_SPLIT_TOKENS = 256
    }
}
