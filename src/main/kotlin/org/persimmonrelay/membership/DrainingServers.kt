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

/** One start of a backend server; [incarnation] differs between starts. */
@Serializable
public data class ServerIncarnation(val server: ServerId, val incarnation: String)

/** Gossip value that lists server incarnations. */
@Serializable
public data class ServerIncarnationList(@SerialName("lives") val incarnations: List<ServerIncarnation>)

/**
 * The backend servers that are draining according to evidence seen by any node: the host list, an eviction notice,
 * the server's own report, or an operator. A draining incarnation does not become live again. It is removed when no
 * evidence was seen for [retention].
 *
 * Not thread-safe, except for [draining].
 */
public class DrainingServers(
    private val self: NodeId,
    gossip: Gossip,
    private val events: EventSink,
    private val retention: Duration = DEFAULT_RETENTION,
) {
    private val topic = gossip.topic(TOPIC, ServerIncarnationList.serializer()) { lists -> merge(lists) }
    private val publishedHere = LinkedHashSet<ServerIncarnation>()
    private val lastSeen = LinkedHashMap<ServerIncarnation, Moment>()
    private val published = MutableStateFlow<Set<ServerIncarnation>>(emptySet())

    /** Server incarnations that must get no new work. */
    public val draining: StateFlow<Set<ServerIncarnation>> get() = published

    /** True when this [incarnation] of [server] must get no new work. */
    public fun isDraining(server: ServerId, incarnation: String): Boolean =
        ServerIncarnation(server, incarnation) in published.value

    /** Records evidence seen by this node that [target] is draining. Repeated evidence restarts the retention. */
    public fun mark(target: ServerIncarnation, evidence: String, now: Moment) {
        val isNew = lastSeen.put(target, now) == null
        if (isNew) events.record(MembershipEvent.SERVER_LEAVING, "server" with target.server, "evidence" with evidence)
        if (publishedHere.add(target)) publish()
    }

    /** Records hosts that are leaving according to the host list. Live hosts are ignored because the list lags. */
    public fun onHosts(hosts: List<Host>, now: Moment) {
        hosts.filter { it.state == HostState.LEAVING }
            .forEach { mark(ServerIncarnation(it.server, it.incarnation), "host list", now) }
    }

    /**
     * Merges what other nodes published. To be called every second or when the topic changes. [members] are those of
     * this region. When the publisher of an incarnation is gone, one member chosen by rendezvous hashing publishes it
     * again.
     */
    public fun refresh(members: List<Member>, now: Moment) {
        val local = topic.local.value.filterKeys { it != self }.values.flatMap { it.incarnations }
        val remote = topic.regions.value.values.flatMap { it.incarnations }
        (local + remote).forEach { lastSeen[it] = now }
        val publishedElsewhere = local.toSet() + remote
        lastSeen.keys.filter { it !in publishedElsewhere && it !in publishedHere && publisherOf(it, members) == self }
            .forEach { publishedHere += it }
        val expired = lastSeen.filterValues { now - it > retention }.keys
        lastSeen.keys -= expired
        publishedHere -= expired
        publish()
    }

    private fun publisherOf(target: ServerIncarnation, members: List<Member>): NodeId? =
        Rendezvous.best(target.server.value, members.filter { it.state.isServing })?.address?.node

    private fun publish() {
        topic.publish(ServerIncarnationList(publishedHere.toList()))
        published.value = lastSeen.keys.toSet()
    }

    private companion object {
        const val TOPIC = "leaving"
        val DEFAULT_RETENTION = 30.minutes

        fun merge(lists: List<ServerIncarnationList>) = ServerIncarnationList(
            lists.flatMap { it.incarnations }.distinct().sortedWith(compareBy({ it.server.value }, { it.incarnation })),
        )
    }
}
