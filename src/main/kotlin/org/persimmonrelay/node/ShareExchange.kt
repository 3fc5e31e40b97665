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

/** Tells a peer what this node's workspaces used. */
@Serializable
internal data class ShareTell(val summaries: List<ShareSummary>)

/** The peer has taken [count] summaries in. */
@Serializable
internal data class ShareTaken(val count: Int)

/**
 * Tells peers what workspaces used through this node, so that all nodes share a pool fairly.
 *
 * A small system tells all its nodes. A large one keeps to the region, whose engines its nodes mostly use, and
 * tells more rarely, so that messages per node stay bounded.
 */
internal class ShareExchange(
    private val network: PeerNetwork,
    private val membership: Membership,
    private val exchange: DispatchExchange,
    private val incarnation: Incarnation,
) {
    /** Takes in what peers tell; to be called before the node joins. */
    fun serve() {
        network.serve(TELL) { tell ->
            tell.summaries.forEach(exchange::merge)
            ShareTaken(tell.summaries.size)
        }
    }

    /** Tells until cancelled. */
    suspend fun run() {
        while (coroutineContext.isActive) {
            val peers = listeners()
            tell(peers)
            delay(if (peers.size <= SMALL_SYSTEM) PERIOD else LARGE_PERIOD)
        }
    }

    private suspend fun tell(peers: List<Member>) {
        val summaries = exchange.summaries(membership.view.value.self.address.node, incarnation)
        if (summaries.isEmpty()) return
        val message = ShareTell(summaries)
        coroutineScope {
            peers.forEach { peer -> launch { network.call(peer.address, TELL, message, TIMEOUT) } }
        }
    }

    private fun listeners(): List<Member> {
        val view = membership.view.value
        val present = view.peers.filter { it.state.isPresent }
        return if (present.size <= SMALL_SYSTEM) present else present.filter { it.region == view.self.region }
    }

    private companion object {
        const val SMALL_SYSTEM = 20
        val PERIOD: Duration = 1.seconds
        val LARGE_PERIOD: Duration = 2.seconds
        val TIMEOUT: Duration = 800.milliseconds
        val TELL = PeerMethod("fairness.Tell", ShareTell.serializer(), ShareTaken.serializer())
    }
}
