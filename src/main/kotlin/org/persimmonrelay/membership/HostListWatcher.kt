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
 * Applies the draining states of the platform's host list on every node.
 *
 * The list is long, so only [READERS] nodes of a region read it; the others are informed by gossip. A server that the
 * list shows as live under a new incarnation gets work again. Everything but [drainingServers] must be used on the
 * control thread.
 */
public class HostListWatcher(
    private val hosts: HostList,
    private val membership: Membership,
    private val servers: DrainingServers,
    gossip: Gossip,
    private val clock: Clock,
    private val period: Duration = 2.seconds,
) {
    private val returned = gossip.topic(TOPIC, ServerIncarnationList.serializer()) { ServerIncarnationList(merged(it)) }
    private val published = MutableStateFlow<Set<ServerId>>(emptySet())

    /** Servers that must get no new work now. */
    public val drainingServers: StateFlow<Set<ServerId>> get() = published

    /** Reads the list and calls [refresh] every [period] until cancelled. */
    public suspend fun run() {
        while (coroutineContext.isActive) {
            if (isReader()) hosts.hosts().onRight { onHosts(it, clock.now()) }
            refresh(clock.now())
            delay(period)
        }
    }

    /** Processes one reading of the list and publishes the servers that are live under a new incarnation. */
    public fun onHosts(hosts: List<Host>, now: Moment) {
        servers.onHosts(hosts, now)
        val returnedServers = hosts.filter { it.state == HostState.LIVE && hasReturned(it) }
        returned.publish(ServerIncarnationList(returnedServers.map { ServerIncarnation(it.server, it.incarnation) }))
    }

    /** Merges what other nodes published and updates [drainingServers]. */
    public fun refresh(now: Moment) {
        val view = membership.view.value
        servers.refresh(view.members.filter { it.region == view.self.region }, now)
        val incarnations = servers.draining.value
        val returnedServers = merged(returned.local.value.values + returned.regions.value.values)
            .filter { it !in incarnations }
            .mapTo(HashSet()) { it.server }
        published.value = incarnations.mapTo(HashSet()) { it.server } - returnedServers
    }

    private fun hasReturned(host: Host): Boolean {
        val incarnations = servers.draining.value.filter { it.server == host.server }
        return incarnations.isNotEmpty() && incarnations.none { it.incarnation == host.incarnation }
    }

    private fun isReader(): Boolean {
        val view = membership.view.value
        val region = view.members.filter { it.region == view.self.region && it.state.isServing }
        return Rendezvous.pick(TOPIC, region, READERS).any { it.address.node == view.self.address.node }
    }

    private companion object {
        const val TOPIC = "returned"
        const val READERS = 2

        fun merged(values: Collection<ServerIncarnationList>): List<ServerIncarnation> =
            values.flatMap { it.incarnations }.distinct().sortedWith(compareBy({ it.server.value }, { it.incarnation }))
    }
}
