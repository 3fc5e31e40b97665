/*
 * Which servers of a large service a node uses first. A node that sends to every server holds a connection to each and
 * follows the cache reports of each, so that the fleet's cost grows with nodes times servers. Each node therefore
 * prefers a bounded number of servers close to it, and uses the others only when none of these is good enough.
 */
package org.persimmonrelay.backend

import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.route.ServiceId

/** Servers of one service. [preferred] are considered first, [all] when none of these starts a request in time. */
public class ServerCandidates(public val preferred: List<BackendServer>, public val all: List<BackendServer>) {
    /** True when there are servers beyond the preferred ones. */
    public val canWiden: Boolean
        get() = preferred.size < all.size

    public companion object {
        /** All of [servers] are preferred. */
        public fun of(servers: List<BackendServer>): ServerCandidates = ServerCandidates(servers, servers)
    }
}

/**
 * Selects the preferred servers of each service for the node [self] at [location]: servers in its region, as long as
 * there are enough of them. Of a very large number it takes those with the highest rendezvous hash of node and server,
 * which spreads the nodes evenly over servers. Results are kept until the view changes. Confined to the traffic thread.
 */
public class NearbyServers(private val self: NodeId, private val location: NodeLocation) {
    private var view: BackendView = BackendView.EMPTY
    private val byService = HashMap<ServiceId, ServerCandidates>()

    /** The servers of [service] in [current]. */
    public fun of(current: BackendView, service: ServiceId): ServerCandidates {
        if (current !== view) {
            view = current
            byService.clear()
        }
        return byService.getOrPut(service) { select(current.of(service)) }
    }

    private fun select(servers: List<BackendServer>): ServerCandidates {
        if (servers.size <= ALL_PREFERRED) return ServerCandidates.of(servers)
        val preferred = servers.groupBy { it.stage == EngineStage.PREFILL }.values.flatMap(::selectFrom)
        return ServerCandidates(preferred, servers)
    }

    /** Prefill servers and the others are selected separately, because a request may need one of each. */
    private fun selectFrom(servers: List<BackendServer>): List<BackendServer> {
        val (near, far) = servers.partition { location.isSameRegion(it.domain) }
        val ranked = near.sortedByDescending(::rank) + far.sortedByDescending(::rank)
        return ranked.take(near.size.coerceIn(MIN_PREFERRED, MAX_PREFERRED))
    }

    private fun rank(server: BackendServer) = PromptAffinity.rank(self.value, server.instance.id)

    private companion object {
        /** A service with no more servers than this is used as a whole. */
        const val ALL_PREFERRED = 32

        /** Enough that the loss of a failure domain leaves some. */
        const val MIN_PREFERRED = 4
        const val MAX_PREFERRED = 24
    }
}
