package org.persimmonrelay.node

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.combine
import kotlinx.serialization.Serializable
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.engine.EngineLoadReport
import org.persimmonrelay.fleet.ServerDrainer
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.membership.Gossip
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Backend servers that one node is draining before planned changes. */
@Serializable
internal data class DrainedServers(val servers: Set<ServerId>)

/**
 * Drains servers by gossip: no node sends new requests to a server that any live node is draining. The drains of a
 * node that fails are removed with its gossip entry, so that no server stays drained forever.
 */
internal class GossipServerDrainer(
    gossip: Gossip,
    private val clock: Clock,
    private val loadReportOf: (ServerId) -> EngineLoadReport?,
    private val timeout: Duration,
) : ServerDrainer {
    private val topic = gossip.topic("drains", DrainedServers.serializer()) { entries ->
        DrainedServers(entries.flatMapTo(HashSet()) { it.servers })
    }
    private val drainedHere = HashSet<ServerId>()

    /** Servers that at least one live node is draining. */
    val draining: Flow<Set<ServerId>> =
        combine(topic.local, topic.regions) { local, regions ->
            (local.values + regions.values).flatMapTo(HashSet()) { it.servers }
        }

    override suspend fun drain(server: ServerId): Boolean {
        update { drainedHere += server }
        val startedAt = clock.now()
        var idleSince: Moment? = null
        while (clock.now() - startedAt < timeout) {
            idleSince = if (isIdle(server)) idleSince ?: clock.now() else null
            if (idleSince != null && clock.now() - idleSince >= MIN_IDLE_TIME) return true
            delay(POLL_INTERVAL)
        }
        return true
    }

    override suspend fun readmit(server: ServerId): Unit = update { drainedHere -= server }

    private fun update(change: () -> Unit): Unit = synchronized(drainedHere) {
        change()
        topic.publish(DrainedServers(drainedHere.toSet()))
    }

    private fun isIdle(server: ServerId): Boolean {
        val loadReport = loadReportOf(server) ?: return false
        return loadReport.runningRequests == 0 && loadReport.queuedPromptTokens == 0L
    }

    private companion object {
        /** Minimum idle time: gossip reaches other nodes late and requests may still be in flight. */
        val MIN_IDLE_TIME = 4.seconds
        val POLL_INTERVAL = 250.milliseconds
    }
}
