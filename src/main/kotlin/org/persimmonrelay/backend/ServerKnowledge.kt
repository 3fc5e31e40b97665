package org.persimmonrelay.backend

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.route.EngineSpec
import org.persimmonrelay.route.ServiceId

/** What this node knows of servers: its own work there, how they answered, what engines and other nodes told. */
internal class ServerKnowledge {
    private val loads = HashMap<ServerInstance, ServerLoad>()
    private val others = OtherNodesWork()
    private val models = HashMap<Pair<ServiceId, EngineStage?>, FirstAnswerModel>()

    /** This node's own part of the load of [server]. */
    fun load(server: BackendServer, engine: EngineSpec?): ServerLoad =
        loads.getOrPut(server.instance) { ServerLoad(engine?.kvCapacityTokens ?: 0) }

    /** How long servers like [server] take to a first token. */
    fun model(server: BackendServer): FirstAnswerModel =
        models.getOrPut(server.service to server.stage) { FirstAnswerModel() }

    /** Prompt tokens of all nodes' requests at [server] that have brought no first token yet. */
    fun tokensAhead(server: BackendServer, now: Moment): Int =
        (loads[server.instance]?.tokensAhead ?: 0) + others.tokensAhead(server.instance, now)

    /** Requests of all nodes at [server]. */
    fun running(server: BackendServer, now: Moment): Int =
        ownRunning(server.instance) + others.running(server.instance, now)

    /** Requests of this node at [instance]. */
    fun ownRunning(instance: ServerInstance): Int = loads[instance]?.running ?: 0

    /** What this node has under way at servers. */
    fun ownWork(): List<ServerWork> = loads.filterValues { it.running > 0 }.map { (instance, load) ->
        ServerWork(instance.id, instance.startedAtMillis, load.running, load.tokensAhead)
    }

    /** The node [node] told that it has [work] under way, and no other. */
    fun peerWork(node: NodeId, work: List<ServerWork>, now: Moment) = others.told(node, work, now)

    /** Forgets what is known of servers that are not in [view]. */
    fun retain(view: BackendView) {
        loads.keys.retainAll { it in view }
    }
}
