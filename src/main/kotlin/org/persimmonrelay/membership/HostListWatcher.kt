package org.persimmonrelay.membership

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.isActive
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.platform.Host
import org.persimmonrelay.platform.HostList
import org.persimmonrelay.platform.HostState
import kotlin.coroutines.coroutineContext
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps what the platform's host list says of leaving backend servers in force on every node.
 *
 * The list is long, so only [WATCHERS] nodes of a region read it; the others learn from gossip. A server that
 * the list shows live in another life than the one that left takes work again. All functions but [drainingServers] are
 * for the control thread.
 */
public class HostListWatcher(
    private val hosts: HostList,
    private val membership: Membership,
    private val marks: DrainingServers,
    gossip: Gossip,
    private val clock: Clock,
    private val period: Duration = 2.seconds,
) {
    private val returned = gossip.topic(TOPIC, ServerIncarnationList.serializer()) { ServerIncarnationList(merged(it)) }
    private val published = MutableStateFlow<Set<ServerId>>(emptySet())

    /** Servers that must get no new work now. */
    public val drainingServers: StateFlow<Set<ServerId>> get() = published

    /** Reads and refreshes until cancelled. */
    public suspend fun run() {
        while (coroutineContext.isActive) {
            if (isWatcher()) hosts.hosts().onRight { onHosts(it, clock.now()) }
            refresh(clock.now())
            delay(period)
        }
    }

    /** Takes one reading of the list. */
    public fun onHosts(hosts: List<Host>, now: Moment) {
        marks.onHosts(hosts, now)
        val back = hosts.filter { it.state == HostState.LIVE && hasReturned(it) }
        returned.publish(ServerIncarnationList(back.map { ServerIncarnation(it.server, it.incarnation) }))
    }

    /** Takes over what other nodes know. */
    public fun refresh(now: Moment) {
        val view = membership.view.value
        marks.refresh(view.members.filter { it.region == view.self.region }, now)
        val gone = marks.draining.value
        val back = merged(returned.local.value.values + returned.regions.value.values)
            .filter { it !in gone }
            .mapTo(HashSet()) { it.server }
        published.value = gone.mapTo(HashSet()) { it.server } - back
    }

    private fun hasReturned(host: Host): Boolean {
        val lives = marks.draining.value.filter { it.server == host.server }
        return lives.isNotEmpty() && lives.none { it.incarnation == host.incarnation }
    }

    private fun isWatcher(): Boolean {
        val view = membership.view.value
        val region = view.members.filter { it.region == view.self.region && it.state.isServing }
        return Rendezvous.pick(TOPIC, region, WATCHERS).any { it.address.node == view.self.address.node }
    }

    private companion object {
        const val TOPIC = "returned"
        const val WATCHERS = 2

        fun merged(values: Collection<ServerIncarnationList>): List<ServerIncarnation> =
            values.flatMap { it.incarnations }.distinct().sortedWith(compareBy({ it.server.value }, { it.incarnation }))
    }
}
