package org.persimmonrelay.backend

import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.route.EngineSpec
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/**
 * Computes the cost of running the request of [query] on each of several servers. [holders] are the engines that have
 * the start of its prompt in their cache.
 */
internal class PlacementCosts(
    private val query: PlacementQuery,
    private val engine: EngineSpec?,
    private val statistics: ServerStatistics,
    private val location: NodeLocation,
    private val holders: PromptCacheHolders?,
) {
    private val request = query.request

    /** The cheapest of [servers] for [work]; [affinity] is as returned by [PromptAffinity.of]. */
    fun best(
        servers: List<BackendServer>,
        work: ServerWorkKind,
        affinity: Map<ServerId, Double> = emptyMap(),
    ): ServerOption = servers.map { option(it, work, affinity[it.instance.id] ?: 0.0) }.minBy { it.cost }

    /**
     * The decode server that gets a prompt's first token soonest after its prefill at [prefillServer]. Transfers of KV
     * cache wait for each other at both ends.
     */
    fun bestDecoder(decoders: List<BackendServer>, prefillServer: BackendServer): ServerOption {
        val domain = prefillServer.domain
        val source = NodeLocation(domain, location.regions[domain] ?: location.region, location.regions)
        val sourceDelay = statistics.load(prefillServer, engine).transferDelay(query.now)
        return decoders.map {
            val queue = maxOf(sourceDelay, statistics.load(it, engine).transferDelay(query.now))
            option(it, ServerWorkKind.DECODE).afterTransfer(source.transferCost(it.domain), queue)
        }.minBy { it.cost }
    }

    /** [server] for [work], if it has the shared part of the prompt cached with probability [cacheLikelihood]. */
    fun option(server: BackendServer, work: ServerWorkKind, cacheLikelihood: Double = 0.0): ServerOption {
        val load = statistics.load(server, engine)
        val prefill =
            if (request.hasPrompt && work != ServerWorkKind.DECODE) prefill(server, load, cacheLikelihood) else null
        val delay = if (work == ServerWorkKind.DECODE) ZERO else load.delay(query.now)
        val queue = delay + if (work == ServerWorkKind.PREFILL) ZERO else slotDelay(server)
        val time = when {
            prefill != null -> prefill.duration
            request.hasPrompt -> HANDOVER
            else -> ZERO
        }
        val expected = time + queue
        val wait = queue + (prefill?.waitForOthers ?: ZERO)
        val cost =
            expected + loadCost(server, work, prefill) + tieBreak(server) + load.failurePenalty +
                location.sendCost(server.domain)
        return ServerOption(server, expected, wait, delay, cost, prefill?.tokens ?: 0, prefill?.fetch)
    }

    /** Prefill of [tokens] after the [pending] tokens of other requests and after the cache transfer of [fetch]. */
    private class PrefillEstimate(
        val tokens: Int,
        val pending: Int,
        val perToken: Duration,
        val fetch: PromptCacheFetch?,
        base: Duration,
    ) {
        val duration = base + (fetch?.duration ?: ZERO)
        val waitForOthers = perToken * pending
    }

    private fun prefill(server: BackendServer, load: ServerLoad, cacheLikelihood: Double): PrefillEstimate {
        val model = statistics.model(server)
        val perToken = model.perToken.milliseconds
        val cached = cachedTokens(load, cacheLikelihood)
        val fetch = holders?.fetchFor(server, cached, perToken)
        val tokens = (request.promptTokens - cached - (fetch?.tokens ?: 0)).coerceAtLeast(1)
        val pending = statistics.tokensAhead(server)
        return PrefillEstimate(tokens, pending, perToken, fetch, model.expected((pending + tokens).toDouble()))
    }

    /**
     * Prompt tokens in the server's cache. Without recent reports of the server, the shared part counts by the
     * probability that other requests have left it there.
     */
    private fun cachedTokens(load: ServerLoad, cacheLikelihood: Double): Int {
        val known = load.cache.cachedTokens(request.prompt, query.now)
        if (load.cache.isReported(query.now)) return known
        return maxOf(known, (request.sharedTokens * cacheLikelihood).toInt())
    }

    /** Cost of the work to other requests. */
    private fun loadCost(server: BackendServer, work: ServerWorkKind, prefill: PrefillEstimate?): Duration {
        val recomputed =
            prefill?.let { (request.sharedTokens - (request.promptTokens - it.tokens)).coerceAtLeast(0) } ?: 0
        val batchCost =
            if (work == ServerWorkKind.PREFILL) ZERO else COST_PER_RUNNING * statistics.running(server)
        val interference = if (work == ServerWorkKind.FULL && prefill != null) interference(prefill) else ZERO
        return RECOMPUTE_PER_TOKEN * recomputed + batchCost + interference
    }

    /**
     * Cost of the prefill to the streams that the engine decodes at the same time. Engines prefill in chunks between
     * decode steps. Tokens that fit into one pause between tokens delay the streams a little; those beyond make them
     * miss their pause target.
     */
    private fun interference(prefill: PrefillEstimate): Duration {
        val fitting = ((query.pauseTarget ?: DEFAULT_PAUSE) * PREFILL_SHARE_OF_PAUSE / prefill.perToken).toInt()
        val late = (prefill.pending + prefill.tokens - fitting).coerceIn(0, prefill.tokens)
        return prefill.perToken * (prefill.tokens - late) * LIGHT_INTERFERENCE +
            prefill.perToken * late * HEAVY_INTERFERENCE
    }

    /** Wait until the requests at the server leave a slot. */
    private fun slotDelay(server: BackendServer): Duration {
        val excess = statistics.running(server) + 1 - server.slots
        return if (excess <= 0) ZERO else statistics.serviceTime(server) * excess / server.slots.coerceAtLeast(1)
    }

    private fun tieBreak(server: BackendServer): Duration =
        TIE_BREAK * Math.floorMod(PromptAffinity.rank(request.seed.toString(), server.instance.id), TIE_BREAK_STEPS)

    private companion object {
        /** From the end of the prefill to the first token on the decode server. */
        val HANDOVER = 25.milliseconds

        /** Share of a pause between tokens that is available for prefill; decode steps take the rest. */
        const val PREFILL_SHARE_OF_PAUSE = 0.45
        val DEFAULT_PAUSE = 250.milliseconds

        /** Cost of a prefill on a server that also decodes, as a multiple of the prefill's duration. */
        const val LIGHT_INTERFERENCE = 1.5
        const val HEAVY_INTERFERENCE = 5.0

        /** Spreads requests over servers of equal cost. */
        val TIE_BREAK = 1.milliseconds
        const val TIE_BREAK_STEPS = 4

        /** Each running request makes the decode steps of all requests on the server longer. */
        val COST_PER_RUNNING = 3.milliseconds

        /** Prefilling tokens that another server has cached already delays other requests without need. */
        val RECOMPUTE_PER_TOKEN = 40.microseconds
    }
}
