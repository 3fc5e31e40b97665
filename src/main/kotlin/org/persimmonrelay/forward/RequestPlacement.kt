package org.persimmonrelay.forward

import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.backend.Placement
import org.persimmonrelay.backend.PlacementQuery
import org.persimmonrelay.backend.ServerInstance
import org.persimmonrelay.backend.ServerRequestLimits
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.route.RouteKind

/**
 * Chooses servers for the attempts of one request. No server in [used] gets it once more. Confined to the traffic
 * thread.
 */
internal class RequestPlacement(
    private val dependencies: ForwardDependencies,
    private val limits: ServerRequestLimits,
    private val request: ForwardedRequest,
    private val used: () -> Set<ServerInstance>,
) {
    private var maySplit = true

    /** Where the request goes at [now]. */
    fun choose(now: Moment): Placement = dependencies.chooser.choose(query(now), candidates(), request.engine)

    /** The server that decodes the prompt that [prefillServer] has prefilled. */
    fun chooseDecode(prefillServer: BackendServer, now: Moment): Placement =
        dependencies.chooser.chooseDecode(query(now), candidates(), request.engine, prefillServer)

    /** From now on one server prefills the prompt and decodes. */
    fun splitNoMore() {
        maySplit = false
    }

    private fun candidates() = dependencies.nearbyServers.of(dependencies.directory.view, request.profile.service)

    private fun query(now: Moment): PlacementQuery {
        val latest = (request.deadline - now) * LATEST_START_SHARE
        val pauseTarget = (request.route.kind as? RouteKind.Streaming)?.pauseTarget
        return PlacementQuery(
            request = request.profile,
            maxStartDelay = latest,
            excluded = used(),
            unavailable = limits.exhausted(candidates().all, dependencies.clock.wallMillis()),
            now = now,
            maySplit = maySplit,
            pauseTarget = pauseTarget,
            latencyTarget = request.route.latencyTarget,
        )
    }

    private companion object {
        /** Share of the remaining time within which a server has to start; later starts would miss the deadline. */
        const val LATEST_START_SHARE = 0.8
    }
}
