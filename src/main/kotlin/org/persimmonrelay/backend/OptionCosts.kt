package org.persimmonrelay.backend

import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.route.EngineSpec
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/**
 * What it would cost to have one request, the one of [query], done by each of several servers. [holders] are the
 * engines that keep the start of its prompt.
 */
internal class OptionCosts(
    private val query: PlacementQuery,
    private val engine: EngineSpec?,
    private val knowledge: ServerKnowledge,
    private val place: NodeLocation,
    private val holders: PromptHolders?,
) {
    private val request = query.request

    /** The best of [servers] to do [work]; [homes] are as in [PromptHomes]. */
    fun best(
        servers: List<BackendServer>,
        work: ServerWorkKind,
        homes: Map<ServerId, Double> = emptyMap(),
    ): ServerOption = servers.map { option(it, work, homes[it.instance.id] ?: 0.0) }.minBy { it.cost }

    /** [server] doing [work], when it keeps the shared part of the prompt with the likelihood [keeps]. */
    fun option(server: BackendServer, work: ServerWorkKind, keeps: Double = 0.0): ServerOption {
        val load = knowledge.load(server, engine)
        val reading = if (request.isPrompted && work != ServerWorkKind.MAKE) reading(server, load, keeps) else null
        val time = when {
            reading != null -> reading.takes
            request.isPrompted -> HANDOVER
            else -> queueing(server)
        }
        val expected = time + load.delay(query.now)
        val cost = expected + burden(server, work, reading) + spread(server) + load.risk + place.distance(server.domain)
        return ServerOption(server, expected, cost, reading?.tokens ?: 0, reading?.fetch)
    }

    /** Reading [tokens] of the prompt behind what is [ahead], after the copy of [fetch]. */
    private class Reading(
        val tokens: Int,
        val ahead: Int,
        val perToken: Duration,
        val fetch: PromptFetch?,
        base: Duration,
    ) {
        val takes = base + (fetch?.takes ?: ZERO)
    }

    private fun reading(server: BackendServer, load: ServerLoad, keeps: Double): Reading {
        val model = knowledge.model(server)
        val perToken = model.perToken.milliseconds
        val own = ownTokens(load, keeps)
        val fetch = holders?.fetchFor(server, own, perToken)
        val tokens = (request.promptTokens - own - (fetch?.tokens ?: 0)).coerceAtLeast(1)
        val ahead = knowledge.tokensAhead(server, query.now)
        return Reading(tokens, ahead, perToken, fetch, model.expected((ahead + tokens).toDouble()))
    }

    /** Tokens of the prompt that the server keeps; where it doesn't report them, what its other callers left there. */
    private fun ownTokens(load: ServerLoad, keeps: Double): Int {
        val kept = load.memory.kept(request.prompt, query.now)
        if (load.memory.isReported(query.now)) return kept
        return maxOf(kept, (request.sharedTokens * keeps).toInt())
    }

    /** What the work takes from others. */
    private fun burden(server: BackendServer, work: ServerWorkKind, reading: Reading?): Duration {
        val reread = reading?.let { (request.sharedTokens - (request.promptTokens - it.tokens)).coerceAtLeast(0) } ?: 0
        val crowd = if (work == ServerWorkKind.READ) ZERO else CROWD * knowledge.running(server, query.now)
        val disturbance = if (work == ServerWorkKind.WHOLE && reading != null) disturbance(reading) else ZERO
        return REREAD_PER_TOKEN * reread + crowd + disturbance
    }

    /**
     * Engines read prompts in chunks between the tokens of running streams. What is read there within one pause delays
     * these streams a little; what is beyond makes them late.
     */
    private fun disturbance(reading: Reading): Duration {
        val unnoticed = ((query.pauseTarget ?: DEFAULT_PAUSE) * UNNOTICED_SHARE / reading.perToken).toInt()
        val late = (reading.ahead + reading.tokens - unnoticed).coerceIn(0, reading.tokens)
        return reading.perToken * (reading.tokens - late) * LIGHT_DISTURBANCE +
            reading.perToken * late * HEAVY_DISTURBANCE
    }

    private fun queueing(server: BackendServer): Duration {
        val over = knowledge.running(server, query.now) + 1 - server.slots
        return if (over <= 0) ZERO else PLAIN_SERVICE_TIME * over / server.slots.coerceAtLeast(1)
    }

    private fun spread(server: BackendServer): Duration =
        SPREAD * Math.floorMod(PromptHomes.rank(request.seed.toString(), server.instance.id), SPREAD_STEPS)

    private companion object {
        val PLAIN_SERVICE_TIME = 80.milliseconds

        /** From the end of reading to the first token elsewhere. */
        val HANDOVER = 25.milliseconds

        /** Part of a pause that may go to reading, beside the steps that make the tokens. */
        const val UNNOTICED_SHARE = 0.45
        val DEFAULT_PAUSE = 250.milliseconds

        /** Cost of reading at a server that makes tokens, in times of its own length. */
        const val LIGHT_DISTURBANCE = 1.5
        const val HEAVY_DISTURBANCE = 5.0

        /** Keeps equal servers from being taken in one order. */
        val SPREAD = 1.milliseconds
        const val SPREAD_STEPS = 4

        /** What each running request adds to the steps of all. */
        val CROWD = 3.milliseconds

        /** Reading what another server keeps already is work that others wait for. */
        val REREAD_PER_TOKEN = 40.microseconds
    }
}
