package org.persimmonrelay.membership

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import org.persimmonrelay.clock.ManualClock
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.Region
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.node.FakeGossip
import org.persimmonrelay.peer.PeerAddress
import org.persimmonrelay.platform.Host
import org.persimmonrelay.platform.HostState
import org.persimmonrelay.platform.PriceClass
import org.persimmonrelay.standin.StandInHostList
import org.persimmonrelay.timeline.EventSink
import kotlin.test.Test
import kotlin.test.assertEquals

class HostListWatcherTest {
    private val gossip = FakeGossip()
    private val reader = watcher("n1")
    private val nonReader = watcher("n2")

    @Test
    fun `a leaving host is draining also on nodes that do not read the list`() {
        reader.onHosts(listOf(host("1", HostState.LEAVING)), NOW)

        refreshAll()

        assertEquals(setOf(SERVER), nonReader.drainingServers.value)
    }

    @Test
    fun `an incarnation stays draining when the lagging list shows it as live again`() {
        reader.onHosts(listOf(host("1", HostState.LEAVING)), NOW)
        reader.onHosts(listOf(host("1", HostState.LIVE)), NOW)

        refreshAll()

        assertEquals(setOf(SERVER), reader.drainingServers.value)
        assertEquals(setOf(SERVER), nonReader.drainingServers.value)
    }

    @Test
    fun `a host that is live under a new incarnation gets work again on all nodes`() {
        reader.onHosts(listOf(host("1", HostState.LEAVING)), NOW)
        refreshAll()
        reader.onHosts(listOf(host("2", HostState.LIVE)), NOW)

        refreshAll()

        assertEquals(emptySet(), reader.drainingServers.value)
        assertEquals(emptySet(), nonReader.drainingServers.value)
    }

    private fun refreshAll() {
        reader.refresh(NOW)
        nonReader.refresh(NOW)
    }

    private fun watcher(node: String): HostListWatcher {
        val shared = gossip.of(node)
        val servers = DrainingServers(NodeId(node), shared, EventSink.NONE)
        return HostListWatcher(StandInHostList(), TwoNodeMembership(node), servers, shared, ManualClock())
    }

    private fun host(incarnation: String, state: HostState) =
        Host(SERVER, "127.0.0.1:1", FailureDomain("d"), "r", PriceClass.CHEAP, state, incarnation)

    private class TwoNodeMembership(self: String) : Membership {
        private val members = listOf("n1", "n2").map(::member)

        override val view: StateFlow<MembershipView> =
            MutableStateFlow(MembershipView(members.first { it.address.node.value == self }, members))

        override suspend fun leave() = Unit

        private fun member(node: String) = Member(
            address = PeerAddress(NodeId(node), Incarnation("1"), "127.0.0.1", 1),
            domain = FailureDomain("d"),
            region = Region("r"),
            state = MemberState.ALIVE,
        )
    }

    private companion object {
        val SERVER = ServerId("engine")
        val NOW = Moment.ZERO
    }
}
