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

/** Backend servers that one node drains for planned changes. */
@Serializable
internal data class DrainMarks(val servers: Set<ServerId>)

/**
 * Drains by gossip: nodes send no new work to what any live node has marked. The marks of a node that fails are
 * dropped with it, so that no server stays out of work for good.
 */
internal class GossipDrains(
    gossip: Gossip,
    private val clock: Clock,
    private val report: (ServerId) -> EngineLoadReport?,
    private val bound: Duration,
) : ServerDrainer {
    private val topic = gossip.topic("drains", DrainMarks.serializer()) { marks ->
        DrainMarks(marks.flatMapTo(HashSet()) { it.servers })
    }
    private val own = HashSet<ServerId>()

    /** Servers that any live node drains. */
    val draining: Flow<Set<ServerId>> =
        combine(topic.local, topic.regions) { local, regions ->
            (local.values + regions.values).flatMapTo(HashSet()) { it.servers }
        }

    override suspend fun drain(server: ServerId): Boolean {
        mark { own += server }
        val since = clock.now()
        var idleSince: Moment? = null
        while (clock.now() - since < bound) {
            idleSince = if (isIdle(server)) idleSince ?: clock.now() else null
            if (idleSince != null && clock.now() - idleSince >= QUIET) return true
            delay(CHECK_EVERY)
        }
        return true
    }

    override suspend fun readmit(server: ServerId): Unit = mark { own -= server }

    private fun mark(change: () -> Unit): Unit = synchronized(own) {
        change()
        topic.publish(DrainMarks(own.toSet()))
    }

    private fun isIdle(server: ServerId): Boolean {
        val known = report(server) ?: return false
        return known.runningRequests == 0 && known.queuedPromptTokens == 0L
    }

    private companion object {
        /** Nodes hear of a drain late and work may be on its way, so idleness has to last. */
        val QUIET = 4.seconds
        val CHECK_EVERY = 250.milliseconds
    }
}
