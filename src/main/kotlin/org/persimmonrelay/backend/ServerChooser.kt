package org.persimmonrelay.backend

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.route.EngineShape
import org.persimmonrelay.route.ServiceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides which server gets a request: the one where its first token, or its answer, is expected first.
 *
 * Expected times count what has to be read before, what the engine keeps of the prompt already, how far the
 * server is, and how it has done lately. Confined to the traffic thread.
 */
public class ServerChooser(private val place: NodePlace) {
    private val loads = HashMap<ServerInstance, ServerLoad>()
    private val others = OtherNodesWork()
    private val models = HashMap<Pair<ServiceId, EngineStage?>, FirstAnswerModel>()

    /** Chooses among [servers], which are those of the request's service that may get new requests. */
    public fun choose(query: PlacementQuery, servers: List<BackendServer>, engine: EngineShape?): Placement {
        val usable = sound(servers, query, engine)
        val holders = holders(usable, query, engine)
        val makers = usable.filter { it.stage != EngineStage.PREFILL }
        if (makers.isEmpty()) return Placement.Refused(RefusalReason.NO_SERVER, NO_SERVER_WAIT)
        val readers = usable.filter { it.stage == EngineStage.PREFILL }
        // Where there are readers, shared prompts are kept by them and not by the servers that make tokens.
        val whole = best(makers, query, engine, Work.WHOLE, holders, hasHome = readers.isEmpty())
        val maySplit = query.maySplit && readers.isNotEmpty() && isWorthSplitting(query.request)
        val split = if (maySplit) split(readers, makers, query, engine, holders) else null
        val placement = if (split != null && split.cost < whole.cost) split.placement else whole.placement()
        val expected = if (placement is Placement.Split) placement.expected else whole.expected
        if (expected <= query.latestStart) return placement
        return Placement.Refused(RefusalReason.TOO_LATE, (expected - query.latestStart).coerceIn(RETRY_RANGE))
    }

    /** Chooses where to make the tokens of a prompt that was read in [readIn]. */
    public fun chooseMaker(
        query: PlacementQuery,
        servers: List<BackendServer>,
        engine: EngineShape?,
        readIn: FailureDomain,
    ): Placement {
        val makers = sound(servers, query, engine).filter { it.stage != EngineStage.PREFILL }
        if (makers.isEmpty()) return Placement.Refused(RefusalReason.NO_SERVER, NO_SERVER_WAIT)
        return maker(makers, query, engine, readIn).placement()
    }

    /** The request was sent to the chosen server. */
    public fun sent(chosen: Placement.Chosen, request: WorkRequest, engine: EngineShape?, now: Moment): ServerTicket {
        val load = load(chosen.server, engine)
        load.started(chosen.tokensToRead)
        if (request.isPrompted) load.memory.read(request.prompt, now)
        val learns = request.isPrompted && chosen.tokensToRead > 0
        return ServerTicket(
            load,
            model(request.service, chosen.server.stage),
            chosen,
            tokensAhead(load, chosen.server, now),
            learns,
        )
    }

    /** The engine [server] reported what changed in what it keeps. */
    public fun keptChanged(server: BackendServer, engine: EngineShape?, changes: KeptChanges, now: Moment): Unit =
        load(server, engine).memory.changed(changes, now)

    /** The engine [server] reported all that it keeps. */
    public fun keptListed(server: BackendServer, engine: EngineShape?, list: KeptList, now: Moment): Unit =
        load(server, engine).memory.replaced(list, now)

    /** What this node has under way at servers. */
    public fun work(): List<ServerWork> = loads.filterValues { it.running > 0 }.map { (instance, load) ->
        ServerWork(instance.id, instance.startedAtMillis, load.running, load.tokensAhead)
    }

    /** The node [node] told that it has [work] under way, and no other. */
    public fun otherWork(node: NodeId, work: List<ServerWork>, now: Moment): Unit = others.told(node, work, now)

    /** Forgets what is known of servers that are not in [view]. */
    public fun retain(view: BackendView) {
        loads.keys.retainAll { it in view }
    }

    /** Requests of this node at [instance]. */
    public fun running(instance: ServerInstance): Int = loads[instance]?.running ?: 0

    /** What a server would do for the request. */
    private enum class Work { WHOLE, READ, MAKE }

    private class Option(
        val server: BackendServer,
        val expected: Duration,
        val cost: Duration,
        val tokensToRead: Int,
        val fetch: PromptFetch? = null,
    ) {
        fun placement() = Placement.Chosen(server, expected, tokensToRead, fetch)
    }

    private class SplitOption(val placement: Placement.Split, val cost: Duration)

    private fun isWorthSplitting(request: WorkRequest) = request.promptTokens >= LEAST_SPLIT_TOKENS

    private fun sound(servers: List<BackendServer>, query: PlacementQuery, engine: EngineShape?): List<BackendServer> {
        val usable = servers.filter { it.instance !in query.excluded }
        return usable.filterNot { load(it, engine).isAvoided(query.now) }.ifEmpty { usable }
    }

    private fun best(
        servers: List<BackendServer>,
        query: PlacementQuery,
        engine: EngineShape?,
        work: Work,
        holders: PromptHolders,
        hasHome: Boolean,
    ): Option {
        val homes = if (hasHome) homes(query.request, servers) else emptyMap()
        return servers.map { option(it, homes[it.instance.id] ?: 0.0, query, engine, work, holders) }.minBy { it.cost }
    }

    private fun holders(servers: List<BackendServer>, query: PlacementQuery, engine: EngineShape?): PromptHolders {
        val prompt = query.request.prompt
        val kept = if (prompt.isEmpty()) emptyMap() else servers.associateWith { kept(it, prompt, engine, query.now) }
        return PromptHolders(place.regions, engine, kept)
    }

    private fun tokensAhead(load: ServerLoad, server: BackendServer, now: Moment) =
        load.tokensAhead + others.tokensAhead(server.instance, now)

    private fun kept(server: BackendServer, prompt: List<PromptPart>, engine: EngineShape?, now: Moment): Int =
        load(server, engine).memory.kept(prompt, now)

    private fun split(
        readers: List<BackendServer>,
        makers: List<BackendServer>,
        query: PlacementQuery,
        engine: EngineShape?,
        holders: PromptHolders,
    ): SplitOption {
        val reader = best(readers, query, engine, Work.READ, holders, hasHome = true)
        val maker = maker(makers, query, engine, reader.server.domain)
        val expected = reader.expected + maker.expected
        return SplitOption(Placement.Split(reader.placement(), expected), reader.cost + maker.cost)
    }

    private fun maker(
        makers: List<BackendServer>,
        query: PlacementQuery,
        engine: EngineShape?,
        readIn: FailureDomain,
    ): Option {
        val nearest = NodePlace(readIn, place.regions[readIn] ?: place.region, place.regions)
        return makers.map { server ->
            val plain = option(server, keeps = 0.0, query, engine, Work.MAKE, holders = null)
            val move = nearest.moveDistance(server.domain)
            Option(server, plain.expected + move, plain.cost + move, 0)
        }.minBy { it.cost }
    }

    private fun option(
        server: BackendServer,
        keeps: Double,
        query: PlacementQuery,
        engine: EngineShape?,
        work: Work,
        holders: PromptHolders?,
    ): Option {
        val load = load(server, engine)
        val request = query.request
        val model = model(request.service, server.stage)
        val reads = request.isPrompted && work != Work.MAKE
        val own = if (reads) ownTokens(request, load, keeps, query.now) else 0
        val fetch = if (reads) holders?.fetchFor(server, own, model.perToken.milliseconds) else null
        val kept = own + (fetch?.tokens ?: 0)
        val ahead = tokensAhead(load, server, query.now)
        val running = load.running + others.running(server.instance, query.now)
        val toRead = if (reads) (request.promptTokens - kept).coerceAtLeast(1) else 0
        val time = when {
            reads -> model.expected((ahead + toRead).toDouble()) + (fetch?.takes ?: ZERO)
            request.isPrompted -> HANDOVER
            else -> queueing(server, running)
        }
        val expected = time + load.delay(query.now)
        val reread = (request.sharedTokens - (request.promptTokens - toRead)).coerceAtLeast(0)
        val burden = when (work) {
            Work.WHOLE ->
                REREAD_PER_TOKEN * reread + CROWD * running +
                    disturbance(ahead, toRead, model.perToken.milliseconds, query.pauseTarget)
            Work.READ -> REREAD_PER_TOKEN * reread
            Work.MAKE -> CROWD * running
        }
        val spread = SPREAD * Math.floorMod(rank(request.seed.toString(), server.instance.id), SPREAD_STEPS)
        val cost = expected + burden + spread + load.risk + place.distance(server.domain)
        return Option(server, expected, cost, toRead, fetch)
    }

    /**
     * Engines read prompts in chunks between the tokens of running streams. What is read there within one pause delays
     * these streams a little; what is beyond makes them late.
     */
    private fun disturbance(ahead: Int, toRead: Int, perToken: Duration, pauseTarget: Duration?): Duration {
        val unnoticed = ((pauseTarget ?: DEFAULT_PAUSE) * UNNOTICED_SHARE / perToken).toInt()
        val late = (ahead + toRead - unnoticed).coerceIn(0, toRead)
        return perToken * (toRead - late) * LIGHT_DISTURBANCE + perToken * late * HEAVY_DISTURBANCE
    }

    private fun queueing(server: BackendServer, running: Int): Duration {
        val over = running + 1 - server.slots
        return if (over <= 0) ZERO else PLAIN_SERVICE_TIME * over / server.slots.coerceAtLeast(1)
    }

    /** Tokens of the prompt that the server keeps; where it doesn't report them, what its other callers left there. */
    private fun ownTokens(request: WorkRequest, load: ServerLoad, keeps: Double, now: Moment): Int {
        val kept = load.memory.kept(request.prompt, now)
        if (load.memory.isReported(now)) return kept
        return maxOf(kept, (request.sharedTokens * keeps).toInt())
    }

    /**
     * The servers that all nodes send a shared prompt to, without a word between them, with the likelihood that each
     * keeps it. The second takes over while the first has much to do.
     */
    private fun homes(request: WorkRequest, servers: List<BackendServer>): Map<ServerId, Double> {
        val key = request.shared.lastOrNull()?.id ?: return emptyMap()
        val ranked = servers.sortedByDescending { rank(key, it.instance.id) }
        return ranked.zip(HOMES_KEEP) { server, keeps -> server.instance.id to keeps }.toMap()
    }

    private fun rank(key: String, server: ServerId): Int {
        val mixed = (key.hashCode() * HASH_FACTOR + server.value.hashCode()) * HASH_MIX
        return mixed xor (mixed ushr HASH_SHIFT)
    }

    private fun load(server: BackendServer, engine: EngineShape?): ServerLoad =
        loads.getOrPut(server.instance) { ServerLoad(engine?.kvTokens ?: 0) }

    private fun model(service: ServiceId, stage: EngineStage?) =
        models.getOrPut(service to stage) { FirstAnswerModel() }

    private companion object {
        val NO_SERVER_WAIT = 700.milliseconds
        val RETRY_RANGE = 300.milliseconds..2_000.milliseconds
        val PLAIN_SERVICE_TIME = 80.milliseconds

        /** From the end of reading to the first token elsewhere. */
        val HANDOVER = 25.milliseconds

        /** Part of a pause that may go to reading, beside the steps that make the tokens. */
        const val UNNOTICED_SHARE = 0.45
        val DEFAULT_PAUSE = 250.milliseconds

        /** Cost of reading at a server that makes tokens, in times of its own length. */
        const val LIGHT_DISTURBANCE = 1.5
        const val HEAVY_DISTURBANCE = 5.0
        const val LEAST_SPLIT_TOKENS = 256
        val SPREAD = 1.milliseconds
        const val SPREAD_STEPS = 4

        /** What each running request adds to the steps of all. */
        val CROWD = 3.milliseconds

        /** Likelihood that a shared prompt is kept by the first and the second server that nodes send it to. */
        val HOMES_KEEP = listOf(0.9, 0.6)

        /** Reading what another server keeps already is work that others wait for. */
        val REREAD_PER_TOKEN = 40.microseconds
        const val HASH_FACTOR = -0x61c88647
        const val HASH_MIX = 0x2c1b3c6d
        const val HASH_SHIFT = 15
    }
}
