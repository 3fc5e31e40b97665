package org.persimmonrelay.membership

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.platform.Host
import org.persimmonrelay.platform.HostState
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/** One life of a backend server. */
@Serializable
public data class ServerIncarnation(val server: ServerId, val incarnation: String)

/** The lives of backend servers that one node, or one region, knows to be leaving. */
@Serializable
public data class ServerIncarnationList(@SerialName("lives") val incarnations: List<ServerIncarnation>)

/**
 * Which backend servers are leaving, by any evidence seen by any node: the host list, an eviction notice, the
 * server's own word, an operator. Leaving wins over live until the server comes back as a new incarnation, or
 * no evidence was seen for [retention].
 *
 * All functions are to be called on one thread; [draining] may be read from any.
 */
public class DrainingServers(
    private val self: NodeId,
    gossip: Gossip,
    private val events: EventSink,
    private val retention: Duration = DEFAULT_RETENTION,
) {
    private val topic = gossip.topic(TOPIC, ServerIncarnationList.serializer()) { marks -> merge(marks) }
    private val own = LinkedHashSet<ServerIncarnation>()
    private val known = LinkedHashMap<ServerIncarnation, Moment>()
    private val published = MutableStateFlow<Set<ServerIncarnation>>(emptySet())

    /** Lives that must get no new work. */
    public val draining: StateFlow<Set<ServerIncarnation>> get() = published

    /** True when [server] in its life [incarnation] must get no new work. */
    public fun isDraining(server: ServerId, incarnation: String): Boolean =
        ServerIncarnation(server, incarnation) in published.value

    /** Notes evidence of this node's own that [life] is leaving; repeated evidence renews the mark. */
    public fun mark(life: ServerIncarnation, evidence: String, now: Moment) {
        val isNews = known.put(life, now) == null
        if (isNews) events.record(MembershipEvent.SERVER_LEAVING, "server" with life.server, "evidence" with evidence)
        if (own.add(life)) publish()
    }

    /** Takes the host list as evidence. A host that it shows live is no evidence: the list lags. */
    public fun onHosts(hosts: List<Host>, now: Moment) {
        hosts.filter { it.state == HostState.LEAVING }
            .forEach { mark(ServerIncarnation(it.server, it.incarnation), "host list", now) }
    }

    /**
     * Takes over what others know; to be called every second or when the topic changes. [members] are those of
     * this region. Marks whose publisher is gone are published anew by one node that all agree on.
     */
    public fun refresh(members: List<Member>, now: Moment) {
        val local = topic.local.value.filterKeys { it != self }.values.flatMap { it.incarnations }
        val remote = topic.regions.value.values.flatMap { it.incarnations }
        (local + remote).forEach { known[it] = now }
        val claimed = local.toSet() + remote
        known.keys.filter { it !in claimed && it !in own && ownerOf(it, members) == self }.forEach { own += it }
        val expired = known.filterValues { now - it > retention }.keys
        known.keys -= expired
        own -= expired
        publish()
    }

    private fun ownerOf(life: ServerIncarnation, members: List<Member>): NodeId? =
        Rendezvous.best(life.server.value, members.filter { it.state.isServing })?.address?.node

    private fun publish() {
        topic.publish(ServerIncarnationList(own.toList()))
        published.value = known.keys.toSet()
    }

    private companion object {
        const val TOPIC = "leaving"
        val DEFAULT_RETENTION = 30.minutes

        fun merge(marks: List<ServerIncarnationList>) = ServerIncarnationList(
            marks.flatMap { it.incarnations }.distinct().sortedWith(compareBy({ it.server.value }, { it.incarnation })),
        )
    }
}
