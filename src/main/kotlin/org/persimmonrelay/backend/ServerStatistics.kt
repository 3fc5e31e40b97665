package org.persimmonrelay.backend

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.route.EngineSpec
import org.persimmonrelay.route.ServiceId
import kotlin.time.Duration

/** Load, response times and cache contents of servers, by this node's requests and by reports of engines and nodes. */
internal class ServerStatistics {
    private val loads = HashMap<ServerInstance, ServerLoad>()
    private val peers = PeerWork()
    private val serviceTimes = HashMap<Pair<ServiceId, EngineStage?>, ServiceTimeEstimate>()
    private val lateness = HashMap<ServiceId, ResponseLateness>()
    private val models = HashMap<Pair<ServiceId, EngineStage?>, FirstTokenTimeModel>()

    /** The load of [server] by this node's requests. */
    fun load(server: BackendServer, engine: EngineSpec?): ServerLoad =
        loads.getOrPut(server.instance) { ServerLoad(engine?.kvCapacityTokens ?: 0) }

    /** The load of the server [instance], if a decision has looked at it. */
    fun existingLoad(instance: ServerInstance): ServerLoad? = loads[instance]

    /** The model of time to first token for servers of the same service and stage as [server]. */
    fun model(server: BackendServer): FirstTokenTimeModel =
        models.getOrPut(server.service to server.stage) { FirstTokenTimeModel() }

    /** Time from the sending of a request to its end at servers like [server], when a slot is free. */
    fun serviceTime(server: BackendServer): Duration = serviceTimeEstimate(server).mean

    fun serviceTimeEstimate(server: BackendServer): ServiceTimeEstimate =
        serviceTimes.getOrPut(server.service to server.stage) { ServiceTimeEstimate() }

    /** How late first parts of responses of servers of [service] come. */
    fun lateness(service: ServiceId): ResponseLateness = lateness.getOrPut(service) { ResponseLateness() }

    /** Prompt tokens of all nodes' requests at [server] that have no first token yet. */
    fun tokensAhead(server: BackendServer): Int =
        (loads[server.instance]?.tokensAhead ?: 0) + peers.tokensAhead(server.instance)

    /** Requests of all nodes at [server]. */
    fun running(server: BackendServer): Int = ownRunning(server.instance) + peers.running(server.instance)

    /** Requests of this node at [instance]. */
    fun ownRunning(instance: ServerInstance): Int = loads[instance]?.running ?: 0

    /** This node's work in flight at servers. */
    fun ownWork(): List<ServerWork> = loads.filterValues { it.running > 0 }.map { (instance, load) ->
        ServerWork(instance.id, instance.startedAtMillis, load.running, load.tokensAhead)
    }

    /** Replaces the work in flight that [node] reported before by [work]. */
    fun peerWork(node: NodeId, work: List<ServerWork>, now: Moment) = peers.update(node, work, now)

    /** Sets how many times the work reported by other nodes stands for that of all of them. */
    fun peerScale(scale: Double) {
        peers.scale = scale
    }

    /** Drops reports of other nodes that are too old at [now]. */
    fun expirePeerWork(now: Moment) = peers.expire(now)

    /** Drops the loads of servers that are not in [view]. */
    fun retain(view: BackendView) {
        loads.keys.retainAll { it in view }
    }
}
