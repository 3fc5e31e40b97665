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

/** A page of a node's events; [overwritten] is the number of earlier events that the ring no longer has. */
@Serializable
internal data class TimelinePage(val entries: List<TimelineEntry>, val overwritten: Long)

/**
 * Collects the events of all members and merges them into one timeline. A node that can't be reached is listed
 * with the reason why its events are missing.
 *
 * Every node must [serve] its own ring so that others can [collect] it.
 */
public class TimelineCollector(
    private val ring: TimelineRing,
    private val membership: Membership,
    private val network: PeerNetwork,
) {
    /** Registers the handler through which peers read this node's ring. */
    public fun serve() {
        network.serve(METHOD) { page(it) }
    }

    /** The merged timeline of all members. [timeout] applies to each page of each node. */
    public suspend fun collect(timeout: Duration = DEFAULT_TIMEOUT): MergedTimeline = coroutineScope {
        val permits = Semaphore(PARALLEL_NODES)
        val members = membership.view.value.members
        val timelines = members.map { async { permits.withPermit { timelineOf(it, timeout) } } }.awaitAll()
        MergedTimeline.of(timelines)
    }

    private suspend fun timelineOf(member: Member, timeout: Duration): NodeTimeline {
        val place = "${member.region}/${member.domain}"
        val node = member.address.node
        if (node == membership.view.value.self.address.node) return ownTimeline(member, place)
        if (!member.state.isPresent) {
            return NodeTimeline(node, place, emptyList(), failure = "the node is ${member.state.name.lowercase()}")
        }
        return fetchTimeline(member, place, timeout)
    }

    private fun ownTimeline(member: Member, place: String): NodeTimeline {
        val excerpt = ring.after(0, Int.MAX_VALUE)
        return NodeTimeline(member.address.node, place, excerpt.entries, excerpt.overwritten)
    }

    private suspend fun fetchTimeline(member: Member, place: String, timeout: Duration): NodeTimeline {
        val entries = mutableListOf<TimelineEntry>()
        var overwritten = 0L
        var missing: String? = null
        while (missing == null) {
            val request = TimelineRequest(entries.lastOrNull()?.sequence ?: 0, PAGE_EVENTS)
            val response = network.call(member.address, METHOD, request, timeout)
            response.onLeft { missing = it.message }.onRight {
                entries += it.entries
                overwritten += it.overwritten
            }
            if (response.fold({ true }, { it.entries.size < PAGE_EVENTS })) break
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
