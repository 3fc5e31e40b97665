package org.persimmonrelay.backend

import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with

/**
 * Holds the limits that backend servers name in their responses. The limit of a server is shared by the nodes that
 * [sharers] returns for it, in the same order on each node. Times are Unix milliseconds of the clock that nodes share.
 * Confined to the traffic thread.
 */
public class ServerRequestLimits(
    private val self: NodeId,
    private val sharers: (BackendServer) -> List<NodeId>,
    private val events: EventSink,
) {
    private val limits = HashMap<ServerInstance, HeldLimit>()
    private val unreported = LinkedHashSet<ServerInstance>()

    /** The limit that a server named last, and how often this node has used which slot. */
    private class HeldLimit(var latest: ServerLimit) {
        val slots = latest.requestsPerSecond?.let { LimitSlots(latest.instance, it) }
        val used = HashMap<Long, Int>()
    }

    /**
     * A response of [instance] to a request sent at [sentAtMillis] arrived at [nowMillis] and named a limit of
     * [requestsPerSecond], or none. Without a limit it lifts only one that was named before its request was sent.
     */
    public fun responded(instance: ServerInstance, requestsPerSecond: Double?, sentAtMillis: Long, nowMillis: Long) {
        val before = limits[instance]?.latest
        val isLifted = before?.requestsPerSecond != null && before.namedAtMillis < sentAtMillis
        if (requestsPerSecond == null && !isLifted) return
        update(ServerLimit(instance.id, instance.startedAtMillis, requestsPerSecond, nowMillis))
        unreported += instance
    }

    /** Another node has told [limit]. */
    public fun heard(limit: ServerLimit) {
        val before = limits[limit.instance]?.latest
        if (before == null || limit.namedAtMillis > before.namedAtMillis) update(limit)
    }

    /** The servers among [servers] that this node may not send a request to at [nowMillis]. */
    public fun exhausted(servers: List<BackendServer>, nowMillis: Long): Set<ServerInstance> {
        if (limits.isEmpty()) return emptySet()
        return servers.filter { freeSlot(it, nowMillis) == null }.mapTo(HashSet()) { it.instance }
    }

    /** This node sends a request to [server] at [nowMillis]. */
    public fun sent(server: BackendServer, nowMillis: Long) {
        val limit = limits[server.instance] ?: return
        if (limit.slots == null) return
        val slot = freeSlot(server, nowMillis) ?: return
        limit.used.merge(slot, 1, Int::plus)
    }

    /** What to tell other nodes: at most [count] limits that servers have named to this node since they were told. */
    public fun nextToTell(count: Int): List<ServerLimit> {
        val next = unreported.take(count)
        unreported.removeAll(next.toSet())
        return next.mapNotNull { limits[it]?.latest }
    }

    /** Drops the limits of servers that are not in [view]. */
    public fun retain(view: BackendView) {
        limits.keys.retainAll { it in view }
        unreported.retainAll { it in view }
    }

    /** A slot that this node may use at [server], [UNLIMITED] when that names no limit, null when it may not send. */
    private fun freeSlot(server: BackendServer, nowMillis: Long): Long? {
        val limit = limits[server.instance] ?: return UNLIMITED
        val slots = limit.slots ?: return UNLIMITED
        val usable = slots.usable(self, sharers(server), nowMillis)
        limit.used.keys.retainAll(usable.toSet())
        return usable.firstOrNull { (limit.used[it] ?: 0) < slots.requestsPerSlot }
    }

    private fun update(limit: ServerLimit) {
        val before = limits[limit.instance]
        if (before != null && before.latest.requestsPerSecond == limit.requestsPerSecond) {
            before.latest = limit
            return
        }
        limits[limit.instance] = HeldLimit(limit)
        if (before == null && limit.requestsPerSecond == null) return
        val event = if (limit.requestsPerSecond == null) BackendEvent.LIMIT_LIFTED else BackendEvent.LIMIT_NAMED
        events.record(
            event,
            "server" with limit.server,
            "perSecond" with limit.requestsPerSecond,
            "before" with before?.latest?.requestsPerSecond,
        )
    }

    private companion object {
        const val UNLIMITED = -1L
    }
}
