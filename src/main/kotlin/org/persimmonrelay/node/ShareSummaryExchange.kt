package org.persimmonrelay.node

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable
import org.persimmonrelay.entry.DispatchExchange
import org.persimmonrelay.fairness.ShareSummary
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.membership.Member
import org.persimmonrelay.membership.Membership
import org.persimmonrelay.peer.PeerMethod
import org.persimmonrelay.peer.PeerNetwork
import kotlin.coroutines.coroutineContext
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Sends a peer the usage of workspaces at this node. */
@Serializable
internal data class ShareSummaryUpdate(val summaries: List<ShareSummary>)

/** Acknowledges [count] summaries. */
@Serializable
internal data class ShareSummaryAck(val count: Int)

/**
 * Sends the usage of workspaces at this node to peers, so that a pool is shared fairly across all nodes.
 *
 * With few peers, summaries go to all of them. With more, they go only to peers of the same region, whose engines
 * this region's nodes mostly use, and at a longer interval, so that the number of messages per node stays bounded.
 */
internal class ShareSummaryExchange(
    private val network: PeerNetwork,
    private val membership: Membership,
    private val exchange: DispatchExchange,
    private val incarnation: Incarnation,
) {
    /** Starts to accept summaries from peers. Must be called before the node joins the cluster. */
    fun serve() {
        network.serve(UPDATE_METHOD) { update ->
            update.summaries.forEach(exchange::merge)
            ShareSummaryAck(update.summaries.size)
        }
    }

    /** Sends summaries until cancelled. */
    suspend fun run() {
        while (coroutineContext.isActive) {
            val peers = recipients()
            send(peers)
            delay(if (peers.size <= SMALL_CLUSTER_PEERS) INTERVAL else LARGE_CLUSTER_INTERVAL)
        }
    }

    private suspend fun send(peers: List<Member>) {
        val summaries = exchange.summaries(membership.view.value.self.address.node, incarnation)
        if (summaries.isEmpty()) return
        val message = ShareSummaryUpdate(summaries)
        coroutineScope {
            peers.forEach { peer -> launch { network.call(peer.address, UPDATE_METHOD, message, TIMEOUT) } }
        }
    }

    private fun recipients(): List<Member> {
        val view = membership.view.value
        val present = view.peers.filter { it.state.isPresent }
        return if (present.size <= SMALL_CLUSTER_PEERS) present else present.filter { it.region == view.self.region }
    }

    private companion object {
        const val SMALL_CLUSTER_PEERS = 20
        val INTERVAL: Duration = 1.seconds
        val LARGE_CLUSTER_INTERVAL: Duration = 2.seconds
        val TIMEOUT: Duration = 800.milliseconds
        val UPDATE_METHOD = PeerMethod("fairness.Tell", ShareSummaryUpdate.serializer(), ShareSummaryAck.serializer())
    }
}
