package org.persimmonrelay.membership

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlinx.serialization.Serializable
import org.persimmonrelay.peer.PeerMethod
import org.persimmonrelay.peer.PeerNetwork
import org.persimmonrelay.timeline.MergedTimeline
import org.persimmonrelay.timeline.NodeTimeline
import org.persimmonrelay.timeline.TimelineEntry
import org.persimmonrelay.timeline.TimelineRing
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Asks for the events after [sequence], at most [limit]. */
@Serializable
internal data class TimelineRequest(val sequence: Long, val limit: Int)

/** A page of a node's events. */
@Serializable
internal data class TimelinePage(val entries: List<TimelineEntry>, val overwritten: Long)

/**
 * Collects the events of all members and merges them. Nodes that can't be reached appear as gaps.
 *
 * The node that answers `timeline` builds one; all nodes [serve] their own ring.
 */
public class TimelineCollector(
    private val ring: TimelineRing,
    private val membership: Membership,
    private val network: PeerNetwork,
) {
    /** Lets peers read this node's ring. */
    public fun serve() {
        network.serve(METHOD) { page(it) }
    }

    /** The time line over all members; each node gets [timeout] for each page. */
    public suspend fun collect(timeout: Duration = DEFAULT_TIMEOUT): MergedTimeline = coroutineScope {
        val permits = Semaphore(PARALLEL_NODES)
        val members = membership.view.value.members
        val lanes = members.map { async { permits.withPermit { lane(it, timeout) } } }.awaitAll()
        MergedTimeline.of(lanes)
    }

    private suspend fun lane(member: Member, timeout: Duration): NodeTimeline {
        val place = "${member.region}/${member.domain}"
        val node = member.address.node
        if (node == membership.view.value.self.address.node) return own(member, place)
        if (!member.state.isPresent) {
            return NodeTimeline(node, place, emptyList(), failure = "the node is ${member.state.name.lowercase()}")
        }
        return remote(member, place, timeout)
    }

    private fun own(member: Member, place: String): NodeTimeline {
        val excerpt = ring.after(0, Int.MAX_VALUE)
        return NodeTimeline(member.address.node, place, excerpt.entries, excerpt.overwritten)
    }

    private suspend fun remote(member: Member, place: String, timeout: Duration): NodeTimeline {
        val entries = mutableListOf<TimelineEntry>()
        var overwritten = 0L
        var missing: String? = null
        while (missing == null) {
            val request = TimelineRequest(entries.lastOrNull()?.sequence ?: 0, PAGE_EVENTS)
            val answer = network.call(member.address, METHOD, request, timeout)
            answer.onLeft { missing = it.message }.onRight {
                entries += it.entries
                overwritten += it.overwritten
            }
            if (answer.fold({ true }, { it.entries.size < PAGE_EVENTS })) break
        }
        return NodeTimeline(member.address.node, place, entries, overwritten, missing)
    }

    private fun page(request: TimelineRequest): TimelinePage {
        val excerpt = ring.after(request.sequence, minOf(request.limit, PAGE_EVENTS))
        return TimelinePage(excerpt.entries, excerpt.overwritten)
    }

    private companion object {
        val METHOD = PeerMethod("timeline", TimelineRequest.serializer(), TimelinePage.serializer())
        val DEFAULT_TIMEOUT = 2.seconds
        const val PARALLEL_NODES = 32
        const val PAGE_EVENTS = 1_000
    }
}
